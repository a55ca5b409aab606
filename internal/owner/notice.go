package owner

import (
	"math"
	"strconv"
	"sync"

	"curranthold.example/curranthold/internal/event"
)

// Notice contains what a backend server says of itself in a response.
type Notice struct {
	// Rate is the number of requests a second that the backend server takes from all
	// callers together, if RateNamed is set.
	Rate      float64
	RateNamed bool
	// Leaving is set if the backend server is shutting down.
	Leaving bool
}

// leavingText is the text with which a header states that the backend server leaves.
const leavingText = "1"

// logInvalidRate logs the first rate that can't be read. A backend server that names
// such a rate names it in every response.
var logInvalidRate sync.Once

// NewNotice returns the notice of a response, given the texts in which it names a rate
// and says that the backend server leaves. A rate that is not a finite number of at least
// 0 counts as none.
func NewNotice(rate, leaving string) Notice {
	n := Notice{Leaving: leaving == leavingText}
	if rate == "" {
		return n
	}
	value, err := strconv.ParseFloat(rate, 64)
	if err != nil || !(value >= 0 && value <= math.MaxFloat64) {
		logInvalidRate.Do(func() { eventRateInvalid.Log(event.Fields{"rate": rate}) })
		return n
	}
	n.Rate, n.RateNamed = value, true
	return n
}

// observeNotice passes on what the backend server b says of itself in a response, unless
// another instance has replaced it.
func (o *Owner) observeNotice(b *backend, n Notice) {
	current := o.current()
	if current == nil || !sameInstance(current, b) {
		return
	}
	o.config.Admission.ObserveNamedRate(n.Rate, n.RateNamed)
	if n.Leaving {
		o.markLeaving(b)
	}
}

// markLeaving withdraws the backend server b, which is leaving, as after a heartbeat that
// says so. A later heartbeat of the same instance is stale.
func (o *Owner) markLeaving(b *backend) {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	o.mu.Lock()
	inUse := o.backend != nil && sameInstance(o.backend, b)
	o.mu.Unlock()
	if !inUse {
		return
	}
	// The start time of one that was announced provisionally is not known.
	o.depart(b.announcement.Incarnation, b.startMs)
	o.Withdraw(b.announcement.Service)
}

// sameInstance reports whether both are the same run of a backend server.
func sameInstance(a, b *backend) bool {
	return a.announcement.Incarnation == b.announcement.Incarnation && a.startMs == b.startMs
}
