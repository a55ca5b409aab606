// Package admission decides which requests run on the one backend server of
// this host, and when.
//
// A [Controller] limits the number of requests that run at once by an adaptive
// concurrency limit. Requests above the limit wait in a short bounded queue,
// ordered by urgency, then by depth, then fairly across client accounts. A
// backend server in cold start gets a small limit that rises as requests
// succeed.
package admission

import (
	"time"

	"curranthold.example/curranthold/pkg/object"
)

// Mechanism is a set of parts of a Controller that can be disabled one by one,
// so that the effect of each can be measured. Mechanisms combine with the |
// operator.
type Mechanism uint16

// The mechanisms that can be disabled.
const (
	// ConcurrencyLimit limits the number of requests that run at once.
	ConcurrencyLimit Mechanism = 1 << iota
	// UrgencyOrder serves more urgent requests first.
	UrgencyOrder
	// DepthOrder serves deeper requests first among those of equal urgency.
	DepthOrder
	// FairOrder serves client accounts in proportion to their weights.
	FairOrder
	// UrgentReserve keeps slots free for urgent requests.
	UrgentReserve
	// DeadlineDrop refuses requests that are unlikely to finish before their
	// deadlines.
	DeadlineDrop
	// ColdRamp raises the limit gradually after a cold start.
	ColdRamp
	// RefusalCut lowers the limit when the backend server refuses requests.
	RefusalCut
	// SilentColdDetection detects a cold start that was not announced.
	SilentColdDetection
)

// Config configures a Controller. The zero value is ready to use.
type Config struct {
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// QueueLimit is the maximum number of queued requests. 0 means the number
	// of requests that start within 160 ms, but at least 4, and at most 4 times
	// the limit on running requests unless a ColdRate applies.
	QueueLimit int
	// Disabled holds the mechanisms that are disabled.
	Disabled Mechanism
	// RefuseNestedOutOfService makes the Controller refuse nested calls as well
	// as root requests while the availability zone is out of service.
	RefuseNestedOutOfService bool
}

func (c *Config) enabled(m Mechanism) bool {
	return c.Disabled&m == 0
}

// Announcement is the state that the backend server reports.
type Announcement struct {
	// Slots is the number of concurrent requests that the backend server can
	// handle when warm.
	Slots int
	// Connections is the maximum number of connections that it accepts. 0 means
	// that connections do not limit the requests further.
	Connections int
	// Cold reports whether the backend server is in cold start.
	Cold bool
	// Warm reports whether the backend server is known to be warm, so that the
	// limit starts at the slots. It has no effect if Cold or ColdRate is set.
	Warm bool
	// SlowStart reports that a cold start only slows the backend server down: its
	// service is declared without a cold rate, so that it can run half of its slots
	// at any time. The limit then starts at that and does not fall below it.
	SlowStart bool
	// Levelled makes the Controller report an admission level in its Load.
	Levelled bool
	// Incarnation changes each time the backend server starts.
	Incarnation string
	// ColdRate is the number of requests a second that the backend server can
	// handle while it is cold, and ColdRemaining is how much longer it stays cold.
	// If ColdRate is set, the Controller relies on these two values: it limits the
	// rate of requests while the backend server is cold, and does not lower the
	// concurrency limit before, during or after a cold start.
	ColdRate      float64
	ColdRemaining time.Duration
}

func (a *Announcement) slots() int {
	if a.Connections > 0 && a.Connections < a.Slots {
		return a.Connections
	}
	return max(a.Slots, 0)
}

func (a *Announcement) warm() bool { return a.Warm && !a.Cold && a.ColdRate == 0 }

// Request describes a request to a Controller.
type Request struct {
	// Account is the client account, empty on an open route.
	Account string
	// Weight is the rate of the account, which sets its fair share relative to
	// other accounts. 0, as on open routes, means the moving average of the
	// weights of recent requests.
	Weight float64
	// Urgency is what the queue orders requests by first.
	Urgency object.Urgency
	// Depth is the number of calls above this one in the call tree, 0 for a
	// root request. Among requests of equal urgency, deeper ones run first.
	Depth int
	// Progress is the number of nested calls that were already served for the
	// calls above this one. It is added to Depth: both measure how much
	// finished work is wasted if the request is refused.
	Progress int
	// Deadline is the time after which the caller has no use for the answer.
	// The zero value means that there is no deadline.
	Deadline time.Time
	// MaxWait is the maximum time that the request may spend in the queue; 0
	// means until its deadline.
	MaxWait time.Duration
	// NonRepeatable reports whether the request must not run twice.
	NonRepeatable bool
	// AdmitProbability is the probability with which the root request was admitted;
	// 0 means 1.
	AdmitProbability float64
	// DemandCounted reports whether another host of the service has counted the request
	// as demand and then refused it.
	DemandCounted bool
}
