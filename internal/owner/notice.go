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
}

// logInvalidRate logs the first rate that can't be read. A backend server that names
// such a rate names it in every response.
var logInvalidRate sync.Once

// NewNotice returns the notice of a response, given the text in which it names a rate.
// A rate that is not a finite number of at least 0 counts as none.
func NewNotice(rate string) Notice {
	if rate == "" {
		return Notice{}
	}
	value, err := strconv.ParseFloat(rate, 64)
	if err != nil || !(value >= 0 && value <= math.MaxFloat64) {
		logInvalidRate.Do(func() { eventRateInvalid.Log(event.Fields{"rate": rate}) })
		return Notice{}
	}
	return Notice{Rate: value, RateNamed: true}
}

// observeNotice passes on what the backend server b says of itself in a response, unless
// another instance has replaced it.
func (o *Owner) observeNotice(b *backend, n Notice) {
	current := o.current()
	if current == nil || !sameInstance(current, b) {
		return
	}
	o.config.Admission.ObserveNamedRate(n.Rate, n.RateNamed)
}

// sameInstance reports whether both are the same run of a backend server.
func sameInstance(a, b *backend) bool {
	return a.announcement.Incarnation == b.announcement.Incarnation && a.startMs == b.startMs
}
