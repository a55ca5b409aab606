// Package client provides a client for the resource API that every node serves,
// and the messages of that API. docs/API.md describes the API.
package client

import (
	"time"

	"curranthold.example/curranthold/pkg/object"
)

// Batch is a set of objects that are applied together: all or none. The resource
// version of each is the one that the stored object must have; 0 means that the
// object must not exist.
type Batch struct {
	Objects []object.Object `json:"objects"`
}

// List holds the objects of one kind, sorted by name.
type List struct {
	// Generation is the configuration generation of the list. A watch can
	// continue from it.
	Generation uint64          `json:"generation"`
	Objects    []object.Object `json:"objects"`
}

// Result is the response to an accepted operation.
type Result struct {
	// Generation is the configuration generation that contains the operation's
	// changes. It may not be in force on every node yet.
	Generation  uint64 `json:"generation"`
	OperationID string `json:"operation-id"`
	// Repeated is true if the operation was found to be accepted already: in an
	// earlier request, or in an earlier commit whose outcome was unknown.
	Repeated bool `json:"repeated,omitempty"`
	// Objects are the changed objects in their new state.
	Objects []object.Object `json:"objects,omitempty"`
	// Deleted are the identifiers of the deleted objects.
	Deleted []object.ID `json:"deleted,omitempty"`
}

// KeyRequest is the request for a new key.
type KeyRequest struct {
	Name          string `json:"name"`
	ClientAccount string `json:"client-account"`
}

// KeyResult is the response to a KeyRequest.
type KeyResult struct {
	Result
	// Key is the key that the client account presents. No other response
	// contains it. It is empty if the operation was accepted in an earlier request:
	// if the response to that request was lost, another key has to be created.
	Key string `json:"key,omitempty"`
}

// EventType says what a watch event reports.
type EventType string

// The types of watch events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one line of the response to a watch.
type Event struct {
	Type       EventType `json:"type"`
	Generation uint64    `json:"generation"`
	object.ID
	// Object is nil if the object was deleted.
	Object *object.Object `json:"object,omitempty"`
}

// Record is a record of the audit trail: one operation and the changes that it made.
type Record struct {
	Generation  uint64    `json:"generation"`
	OperationID string    `json:"operation-id"`
	Operator    string    `json:"operator"`
	Action      string    `json:"action"`
	At          time.Time `json:"at"`
	Edits       []Edit    `json:"edits"`
}

// Edit is the change that an operation made to one object.
type Edit struct {
	object.ID
	Before *object.Object `json:"before,omitempty"`
	After  *object.Object `json:"after,omitempty"`
}

// Audit is a page of the audit trail, oldest record first.
type Audit struct {
	Records []Record `json:"records"`
	// Next is the generation after which the next page begins; 0 on the last page.
	Next uint64 `json:"next,omitempty"`
}

// Status is what a node reports about itself and about the configuration.
type Status struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability-zone"`
	Ready            bool   `json:"ready"`
	// Generation is the configuration generation in force on this node.
	Generation uint64 `json:"generation"`
	// Table is the state of the table service as this node sees it.
	Table TableStatus `json:"table"`
	// IsolatedMs is the time in milliseconds since the node last knew that it was
	// up to date with the platform or another zone; -1 if it never was.
	IsolatedMs int64 `json:"isolated-ms"`
	// InForce is the in-force condition of the highest generation that the node
	// knows.
	InForce object.Condition `json:"in-force"`
	// InForceGeneration is the generation to which InForce refers.
	InForceGeneration uint64 `json:"in-force-generation"`
}

// TableStatus says whether a node reaches the table service.
type TableStatus struct {
	Reachable bool `json:"reachable"`
	// Generation is the latest committed configuration generation; 0 if the table
	// service was not reached.
	Generation uint64 `json:"generation"`
}

// Rollout is the state of a service's last rollout.
type Rollout struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// State is running, completed or rolled-back.
	State string `json:"state"`
	// Phase is the step within the state: canary, promoting, completed or rolled-back.
	Phase string `json:"phase,omitempty"`
	// Reason states why the rollout is in its phase; it is empty while there is none.
	Reason string `json:"reason,omitempty"`
	// ElapsedMs is the time since the order was first seen, 0 if that is not known.
	ElapsedMs int64 `json:"elapsed-ms,omitempty"`
	// Old and New sum up the responses of the two versions. They are nil unless the node
	// that responds decides about the rollout.
	Old *VersionTotals `json:"old,omitempty"`
	New *VersionTotals `json:"new,omitempty"`
}

// VersionTotals sums up the responses of one version during a rollout.
type VersionTotals struct {
	Hosts     int    `json:"hosts"`
	Responses uint64 `json:"responses"`
	Failures  uint64 `json:"failures"`
	MedianMs  int64  `json:"median-ms"`
	P95Ms     int64  `json:"p95-ms"`
}

// Rollouts is the response to a request for all rollouts.
type Rollouts struct {
	Rollouts []Rollout `json:"rollouts"`
}
