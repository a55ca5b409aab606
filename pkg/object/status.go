package object

import "time"

// ConditionInForce is the type of the condition that says whether the current version
// of the object is in force on every node.
const ConditionInForce = "in-force"

// ConditionStatus is the status of a condition.
type ConditionStatus string

// The statuses of a condition. Unknown means that some node did not respond and
// that none of the others showed the condition to be false.
const (
	True    ConditionStatus = "true"
	False   ConditionStatus = "false"
	Unknown ConditionStatus = "unknown"
)

// Status is the observed state of an object.
type Status struct {
	Conditions []Condition `json:"conditions,omitempty"`
}

// Condition is one aspect of the observed state of an object.
type Condition struct {
	Type   string          `json:"type"`
	Status ConditionStatus `json:"status"`
	// Message is a human-readable explanation.
	Message string `json:"message,omitempty"`
	// Observed is the time at which the observation began.
	Observed time.Time `json:"observed,omitzero"`
	// Zones gives the observation for each availability zone.
	Zones []ZoneConfirmation `json:"zones,omitempty"`
}

// ZoneConfirmation counts the hosts of one availability zone that have and have
// not confirmed a configuration generation.
type ZoneConfirmation struct {
	AvailabilityZone string          `json:"availability-zone"`
	Status           ConditionStatus `json:"status"`
	// Hosts is the number of hosts known in the zone.
	Hosts int `json:"hosts"`
	// Confirmed is the number of hosts on which the generation is in force.
	Confirmed int `json:"confirmed"`
	// Behind is the number of hosts on which it is not yet in force.
	Behind int `json:"behind"`
	// Unheard is the number of hosts that did not respond. They do not count as
	// confirmed.
	Unheard int `json:"unheard"`
}
