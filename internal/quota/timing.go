package quota

import "time"

// Timing holds the durations of leases, loans and renewals. All hosts of a fleet
// must have the same values. The zero value of each field means its default.
type Timing struct {
	// Lease is how long a host delegates its fraction to a home.
	Lease time.Duration
	// RenewInterval is the time between two messages that extend a delegation.
	RenewInterval time.Duration
	// PrefetchLoanLife is how long a prefetched batch of tokens may be spent.
	PrefetchLoanLife time.Duration
	// DemandLife is how long tokens for waiting requests may be spent.
	DemandLife time.Duration
	// PrefetchInterval is the interval at which a host samples its demand and
	// borrows tokens in advance.
	PrefetchInterval time.Duration
	// ConfirmationValidity is how long a host may use its fraction after the last
	// confirmation that the roster still grants it.
	ConfirmationValidity time.Duration
	// PollInterval is the interval at which a host confirms that the roster
	// grants its fraction.
	PollInterval time.Duration
	// DeadAfter is how long a host must be missing before its fraction is
	// withdrawn.
	DeadAfter time.Duration
}

// The defaults of Timing.
const (
	defaultLease                = 1900 * time.Millisecond
	defaultRenewInterval        = 400 * time.Millisecond
	defaultPrefetchLoanLife     = 400 * time.Millisecond
	defaultDemandLife           = 50 * time.Millisecond
	defaultPrefetchInterval     = 100 * time.Millisecond
	defaultConfirmationValidity = 30 * time.Second
	defaultPollInterval         = 8 * time.Second
	defaultDeadAfter            = 10 * time.Second
)

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&t.Lease, defaultLease)
	set(&t.RenewInterval, defaultRenewInterval)
	set(&t.PrefetchLoanLife, defaultPrefetchLoanLife)
	set(&t.DemandLife, defaultDemandLife)
	set(&t.PrefetchInterval, defaultPrefetchInterval)
	set(&t.ConfirmationValidity, defaultConfirmationValidity)
	set(&t.PollInterval, defaultPollInterval)
	set(&t.DeadAfter, defaultDeadAfter)
	return t
}

// reclaimDelay is how long a withdrawn fraction may still be in use by a host
// that has not acknowledged the withdrawal. The host uses it until its last
// confirmation is older than ConfirmationValidity, and a delegation that it made
// just before that lasts for a lease.
func (t Timing) reclaimDelay() time.Duration {
	return addDriftMargin(t.ConfirmationValidity + t.Lease)
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
