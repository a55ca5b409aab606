package quota

import "time"

// Timing holds the durations of leases, loans and renewals. All hosts of a fleet
// must have the same values. The zero value of each field means its default.
type Timing struct {
	// Lease is how long a host delegates its fraction to a home.
	Lease time.Duration
	// Renew is the time between two messages that extend a delegation.
	Renew time.Duration
	// LoanLife is how long a prefetched batch of tokens may be spent.
	LoanLife time.Duration
	// DemandLife is how long tokens for waiting requests may be spent.
	DemandLife time.Duration
	// Prefetch is the interval at which a host samples its demand and borrows
	// tokens in advance.
	Prefetch time.Duration
	// Fresh is how long a host may use its fraction after the last confirmation
	// that the roster still grants it.
	Fresh time.Duration
	// Poll is the time between two such confirmations.
	Poll time.Duration
	// DeadAfter is how long a host must be missing before its fraction is
	// withdrawn.
	DeadAfter time.Duration
}

// The defaults of Timing.
const (
	defaultLease      = 1900 * time.Millisecond
	defaultRenew      = 400 * time.Millisecond
	defaultLoanLife   = 400 * time.Millisecond
	defaultDemandLife = 50 * time.Millisecond
	defaultPrefetch   = 100 * time.Millisecond
	defaultFresh      = 30 * time.Second
	defaultPoll       = 8 * time.Second
	defaultDeadAfter  = 10 * time.Second
)

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&t.Lease, defaultLease)
	set(&t.Renew, defaultRenew)
	set(&t.LoanLife, defaultLoanLife)
	set(&t.DemandLife, defaultDemandLife)
	set(&t.Prefetch, defaultPrefetch)
	set(&t.Fresh, defaultFresh)
	set(&t.Poll, defaultPoll)
	set(&t.DeadAfter, defaultDeadAfter)
	return t
}

// reclaimDelay is how long a withdrawn fraction may still be in use by a host
// that has not acknowledged the withdrawal. The host uses it until its last
// confirmation is older than Fresh, and a delegation that it made just before
// that lasts for a lease.
func (t Timing) reclaimDelay() time.Duration {
	return addDriftMargin(t.Fresh + t.Lease)
}

// addDriftMargin returns a duration after which, on this host's clock, d has
// certainly passed on another host's clock.
func addDriftMargin(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// subtractDriftMargin returns a duration after which, on this host's clock, d has
// certainly not passed yet on another host's clock.
func subtractDriftMargin(d time.Duration) time.Duration { return d - d/clockDriftDivisor }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
