package owner

import (
	"cmp"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/event"
)

// maxDeparted bounds the names in Owner.departed, which is cleared when it is full.
const maxDeparted = 64

// ErrStaleHeartbeat is returned for a heartbeat that is older than the state already
// known.
var ErrStaleHeartbeat = errors.New("owner: stale heartbeat")

// Heartbeat is an announcement by a backend server that numbers its messages, so that
// a late message is recognized.
type Heartbeat struct {
	// Announcement describes the backend server. Its Incarnation is the name by
	// which the backend server checks that a request is meant for it.
	Announcement Announcement
	// ColdFor is the remaining duration of the backend server's cold start.
	ColdFor time.Duration
	// Leaving is set if the backend server is shutting down: it finishes the
	// calls that it is running and accepts no new ones.
	Leaving bool
	// StartMs is the time at which the backend server started, in Unix milliseconds
	// by its own clock. A larger value identifies a later instance, also under the
	// same name.
	StartMs int64
	// Sequence increases with each heartbeat of an instance.
	Sequence uint64
}

// instance is one run of a backend server's process, from its start to its end, as
// described by its latest heartbeat.
type instance struct {
	name     string
	startMs  int64
	sequence uint64
	// ended is set once the backend server has announced that it is leaving.
	ended bool
}

// HandleHeartbeat handles a heartbeat. If the heartbeat is older than the state
// already known, it changes nothing and returns ErrStaleHeartbeat.
func (o *Owner) HandleHeartbeat(h Heartbeat) error {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	update := instance{name: h.Announcement.Incarnation, startMs: h.StartMs, sequence: h.Sequence, ended: h.Leaving}
	if !o.acceptHeartbeat(update) {
		return ErrStaleHeartbeat
	}
	if h.Leaving {
		o.Withdraw(h.Announcement.Service)
		return nil
	}
	o.announce(h.Announcement, h.StartMs, h.ColdFor)
	return nil
}

// acceptHeartbeat updates the current instance from a heartbeat and reports whether
// the heartbeat is newer than the state known so far. An instance that announced that
// it is leaving, or that has departed, does not come back.
func (o *Owner) acceptHeartbeat(next instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if departedMs, ok := o.departed[next.name]; ok && next.startMs <= departedMs {
		return false
	}
	latest := o.instance
	if next.startMs < latest.startMs {
		return false
	}
	if next.name != latest.name || next.startMs != latest.startMs {
		o.instance = next
		return true
	}
	if next.sequence <= latest.sequence || latest.ended {
		return false
	}
	o.instance = next
	return true
}

// AssumeAnnounced puts an announcement into force before the first heartbeat
// arrives. It changes nothing and returns false if Announced reports true.
func (o *Owner) AssumeAnnounced(h Heartbeat) bool {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	if o.Announced() {
		return false
	}
	o.announce(h.Announcement, 0, h.ColdFor)
	return true
}

// Announced reports whether a backend server has announced itself, has departed or
// was assumed.
func (o *Owner) Announced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.instance != (instance{}) || len(o.departed) > 0 || o.backend != nil
}

// MarkDeparted records that the backend server with that name has left, so that a
// late heartbeat of the same instance does not bring it back. startMs is the start
// time of the instance in Unix milliseconds, 0 if unknown.
func (o *Owner) MarkDeparted(name string, startMs int64) {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	o.mu.Lock()
	if o.departed == nil || len(o.departed) >= maxDeparted {
		o.departed = make(map[string]int64)
	}
	latest := o.instance
	isLatest := latest.name == name && (startMs == 0 || latest.startMs <= startMs)
	switch {
	case isLatest:
		startMs = max(startMs, latest.startMs)
	case startMs == 0:
		startMs = time.Now().UnixMilli()
	}
	o.departed[name] = max(o.departed[name], startMs)
	b := o.backend
	o.mu.Unlock()
	if isLatest && b != nil && b.announcement.Incarnation == name {
		o.Withdraw(b.announcement.Service)
	}
}

// announce puts an announcement into force. startMs is the start time of the instance
// in Unix milliseconds, 0 if unknown.
func (o *Owner) announce(a Announcement, startMs int64, coldFor time.Duration) {
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	var coldRate float64
	if o.config.Service != nil {
		spec := o.config.Service(a.Service)
		coldRate = spec.ColdRate * cmp.Or(o.config.ColdRateFactor, 1)
	}
	changed := o.setBackend(a, startMs)
	o.config.Admission.Announce(admission.Announcement{
		Slots:         a.Slots,
		Connections:   a.Connections,
		Cold:          a.Cold,
		Incarnation:   incarnationID(a.Incarnation, startMs),
		ColdRate:      coldRate,
		ColdRemaining: coldFor,
	})
	if changed {
		eventAnnounced.Log(event.Fields{
			"service": a.Service, "address": a.Address, "slots": a.Slots, "cold": a.Cold,
			"incarnation": a.Incarnation, "born": startMs, "cold-ms": coldFor.Milliseconds(),
		})
		o.notify(a)
	}
}
