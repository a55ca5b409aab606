package owner

import (
	"cmp"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/object"
)

// ErrStaleHeartbeat is returned for a heartbeat that is no newer than what the owner
// already knows, or whose instance is leaving or departed.
var ErrStaleHeartbeat = errors.New("owner: stale heartbeat")

// Heartbeat is an announcement with a start time and a sequence number, by which the
// owner recognizes a late one.
type Heartbeat struct {
	// Announcement describes the backend server. A Codec may send its Incarnation
	// with each request, so that the backend server can check that the request is
	// meant for it.
	Announcement Announcement
	// ColdFor is the remaining duration of the backend server's cold start.
	ColdFor time.Duration
	// Leaving is set if the backend server is shutting down: it finishes the
	// calls that it is running and accepts no new ones.
	Leaving bool
	// StartMs is the time at which the backend server started, in Unix milliseconds
	// by its own clock. A larger value identifies a later instance, even if the
	// Incarnation is the same.
	StartMs int64
	// Sequence increases with each heartbeat of an instance.
	Sequence uint64
}

// instance is one run of a backend server's process, from its start to its end, as
// described by its latest heartbeat.
type instance struct {
	incarnation string
	startMs     int64
	sequence    uint64
	// leaving is set once the instance has announced that it is leaving.
	leaving bool
}

// HandleHeartbeat handles a heartbeat. For a stale heartbeat it changes nothing and
// returns ErrStaleHeartbeat.
func (o *Owner) HandleHeartbeat(h Heartbeat) error {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	update := instance{incarnation: h.Announcement.Incarnation, startMs: h.StartMs, sequence: h.Sequence, leaving: h.Leaving}
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

// acceptHeartbeat sets the current instance from a heartbeat and returns true, unless
// the heartbeat is stale: it is no newer than the last one, or its instance is leaving
// or departed.
func (o *Owner) acceptHeartbeat(next instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.departures.contains(next.incarnation, next.startMs) {
		return false
	}
	latest := o.instance
	if next.startMs < latest.startMs {
		return false
	}
	if next.incarnation != latest.incarnation || next.startMs != latest.startMs {
		o.instance = next
		return true
	}
	if next.sequence <= latest.sequence || latest.leaving {
		return false
	}
	o.instance = next
	return true
}

// AnnounceProvisionally uses the announcement in h until the first heartbeat arrives.
// It changes nothing and returns false if Announced reports true.
func (o *Owner) AnnounceProvisionally(h Heartbeat) bool {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	if o.Announced() {
		return false
	}
	o.announce(h.Announcement, 0, h.ColdFor)
	return true
}

// Announced reports whether the owner has handled a heartbeat, has a backend server,
// or was told of a departed one.
func (o *Owner) Announced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.instance != (instance{}) || o.departures.uses > 0 || o.backend != nil
}

// MarkDeparted records that the instance with that incarnation has departed: its
// process has ended. If its backend server is in use, also one that was announced
// provisionally, it is withdrawn. A late heartbeat of a departed instance is stale.
// startMs is the start time of the instance in Unix milliseconds, 0 if unknown.
func (o *Owner) MarkDeparted(incarnation string, startMs int64) {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	o.mu.Lock()
	latest := o.instance
	isLatest := latest.incarnation == incarnation && (startMs == 0 || latest.startMs <= startMs)
	switch {
	case isLatest:
		startMs = max(startMs, latest.startMs)
	case startMs == 0:
		startMs = time.Now().UnixMilli()
	}
	o.departures.add(incarnation, startMs)
	b := o.backend
	o.mu.Unlock()
	if b != nil && b.announcement.Incarnation == incarnation && b.startMs <= startMs {
		o.Withdraw(b.announcement.Service)
	}
}

// announce makes the announced backend server the current one and passes its capacity
// to the admission controller. startMs is the start time of the instance in Unix
// milliseconds, 0 if unknown. coldFor is the remaining duration of its cold start, 0 if
// unknown.
func (o *Owner) announce(a Announcement, startMs int64, coldFor time.Duration) {
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	var spec object.ServiceSpec
	declared := false
	if o.config.Service != nil {
		spec, declared = o.config.Service(a.Service)
	}
	changed := o.setBackend(a, startMs)
	o.config.Admission.Announce(admission.Announcement{
		Slots:         a.Slots,
		Connections:   a.Connections,
		Cold:          a.Cold,
		SlowStart:     o.config.WarmStart && declared && spec.ColdRate == 0,
		Warm:          o.config.WarmStart && declared && !a.Cold && coldFor <= 0,
		Levelled:      o.config.TreeAdmission && declared && spec.ColdRate == 0,
		Incarnation:   incarnationID(a.Incarnation, startMs),
		ColdRate:      spec.ColdRate * cmp.Or(o.config.ColdRateFactor, 1),
		ColdRemaining: coldFor,
	})
	if changed {
		eventAnnounced.Log(event.Fields{
			"service": a.Service, "address": a.Address, "slots": a.Slots, "cold": a.Cold,
			"version": a.Version, "incarnation": a.Incarnation, "born": startMs, "cold-ms": coldFor.Milliseconds(),
		})
		o.notify(a)
	}
}
