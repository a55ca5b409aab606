package rollout

import "time"

// Phase is the progress of a rollout.
type Phase string

// The phases of a rollout. They only advance, and PhaseRolledBack takes precedence
// over all but PhaseCompleted. The zero value is that of an order not yet begun.
const (
	PhaseCanary     Phase = "canary"
	PhasePromoting  Phase = "promoting"
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled-back"
)

// rank orders the phases: a phase is only replaced by one of a higher rank.
func (p Phase) rank() int {
	switch p {
	case PhaseCanary:
		return 1
	case PhasePromoting:
		return 2
	case PhaseRolledBack:
		return 3
	case PhaseCompleted:
		return 4
	}
	return 0
}

// terminal reports whether the phase is the last of its rollout.
func (p Phase) terminal() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// state returns the state that operators see.
func (p Phase) state() State {
	switch p {
	case PhaseCompleted:
		return StateCompleted
	case PhaseRolledBack:
		return StateRolledBack
	}
	return StateRunning
}

// State is the state of a rollout as operators see it.
type State string

// The states of a rollout.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled-back"
)

// Reason states why a rollout is in its phase.
type Reason string

// The reasons of phases.
const (
	// ReasonPassed: the new version responded like the old one.
	ReasonPassed Reason = "passed"
	// ReasonFailures: the new version failed more often than the old one.
	ReasonFailures Reason = "failures"
	// ReasonSlow: the new version took several times as long as the old one.
	ReasonSlow Reason = "slow"
	// ReasonNoEvidence: the new version had too few responses before the deadline.
	ReasonNoEvidence Reason = "no-evidence"
	// ReasonNotReady: the new version was cold or had too few slots at the deadline.
	ReasonNotReady Reason = "not-ready"
	// ReasonUnknownService: no backend server of the service was known.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnknownVersion: no backend server announced the new version.
	ReasonUnknownVersion Reason = "unknown-version"
	// ReasonReplaced: another order for the service came while this one ran.
	ReasonReplaced Reason = "replaced"
	// ReasonInForce: the version was in force before the order.
	ReasonInForce Reason = "in-force"
	// ReasonWithdrawn: the order was withdrawn while it ran.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonLate: the order was first seen after its deadline, without evidence.
	ReasonLate Reason = "late"
	// ReasonStoreUnavailable: the state could not be written before the deadline.
	ReasonStoreUnavailable Reason = "store-unavailable"
)

// Record is the state of a service's last rollout, as kept in the store.
type Record struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Base is the version that was in force when the rollout began.
	Base   string        `json:"base,omitempty"`
	Order  uint64        `json:"order"`
	Over   time.Duration `json:"over-ns"`
	Phase  Phase         `json:"phase"`
	Reason Reason        `json:"reason,omitempty"`
	// Started is when the order was first seen, by the clock of the host that wrote
	// the first record of it.
	Started time.Time `json:"started"`
}

// Totals sums up the responses of a version.
type Totals struct {
	Hosts     int    `json:"hosts"`
	Responses uint64 `json:"responses"`
	Failures  uint64 `json:"failures"`
	MedianMs  int64  `json:"median-ms"`
	P95Ms     int64  `json:"p95-ms"`
}

// Status describes a rollout to operators.
type Status struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	State   State         `json:"state"`
	Phase   Phase         `json:"phase"`
	Reason  Reason        `json:"reason,omitempty"`
	Elapsed time.Duration `json:"elapsed-ns"`
	// Old and New sum up the evidence of the last poll. They are empty on hosts that
	// don't decide about this rollout.
	Old Totals `json:"old"`
	New Totals `json:"new"`
}
