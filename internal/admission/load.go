package admission

import (
	"encoding/json"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

// Load describes the load of a host. Every answer carries one as a hint.
type Load struct {
	// InFlight is the number of running requests.
	InFlight int `json:"in-flight"`
	// Queued is the number of queued requests.
	Queued int `json:"queued"`
	// Limit is the number of requests that may run at once at present.
	Limit int `json:"limit"`
	// Slots is the announced upper bound of Limit.
	Slots int `json:"slots"`
	// ShedFrom is the highest urgency of which requests were recently evicted
	// from the queue; object.UrgencyCount means that there is none.
	ShedFrom object.Urgency `json:"shed-from"`
	// Cold reports whether the backend server announces that it is cold, its
	// rate is limited to an announced cold rate, or the limit is below half of
	// the slots during a ramp.
	Cold bool `json:"cold"`
	// Leaving reports whether the host is leaving and takes no new requests.
	Leaving bool `json:"leaving"`
	// FailingPercent is the percentage of recent requests that the backend
	// server itself refused, failed or broke off.
	FailingPercent int `json:"failing-percent"`
	// MeanSlotTime is the moving average of the time for which a request runs, less the
	// time in which it waits for nested calls; 0 if unknown.
	MeanSlotTime time.Duration `json:"mean-slot-time,omitempty"`
	// Superseded reports that the service's traffic moves to another version of its
	// backend servers, so that this host takes no new requests.
	Superseded bool `json:"superseded,omitempty"`
	// Levelled reports whether Closed is an admission level that this host has
	// computed. Hosts of earlier builds don't set it.
	Levelled bool `json:"levelled,omitempty"`
	// Closed is the admission level: how many urgencies, counted from the least
	// urgent, exceed the capacity of the backend server. The urgency of which a part
	// exceeds it counts with that part. 0 means that all requests fit.
	Closed float64 `json:"closed,omitempty"`
}

// lostPercent is the percentage of failed requests from which a host counts as lost.
const lostPercent = 75

// Lost reports whether the backend server refuses or fails most requests, whatever their
// number is. That is no sign of overload of its service, so that Closed does not count.
func (l *Load) Lost() bool { return l.FailingPercent >= lostPercent }

// shedNone represents a ShedFrom of object.UrgencyCount in JSON.
const shedNone = "none"

// plainLoad has the fields of Load without its methods.
type plainLoad Load

// loadJSON is the JSON encoding of Load.
type loadJSON struct {
	plainLoad
	ShedFrom string `json:"shed-from"`
}

// MarshalJSON implements json.Marshaler.
func (l Load) MarshalJSON() ([]byte, error) {
	form := loadJSON{plainLoad: plainLoad(l), ShedFrom: shedNone}
	if l.ShedFrom.Valid() {
		form.ShedFrom = l.ShedFrom.String()
	}
	return json.Marshal(form)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Load) UnmarshalJSON(text []byte) error {
	var form loadJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	shedFrom := object.Urgency(object.UrgencyCount)
	if form.ShedFrom != shedNone {
		if err := shedFrom.UnmarshalText([]byte(form.ShedFrom)); err != nil {
			return err
		}
	}
	*l = Load(form.plainLoad)
	l.ShedFrom = shedFrom
	return nil
}
