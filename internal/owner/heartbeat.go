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
}

// same reports whether both are the same run of a process.
func (i instance) same(other instance) bool {
	return i.incarnation == other.incarnation && i.startMs == other.startMs
}

// standing says how the owner treats a heartbeat.
type standing int

const (
	// stale heartbeats change nothing.
	stale standing = iota
	// current heartbeats are believed.
	current
	// unknown heartbeats are those of an instance that has to be confirmed, and
	// unknownEarlier those of one that started before an instance that was in use.
	unknown
	unknownEarlier
)

// HandleHeartbeat handles a heartbeat. For a stale heartbeat it changes nothing and
// returns ErrStaleHeartbeat. If Config.CheckHealth is set, an instance that is new to this
// owner gets no calls before Run has confirmed it.
func (o *Owner) HandleHeartbeat(h Heartbeat) error {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	switch o.takeHeartbeat(h) {
	case stale:
		return ErrStaleHeartbeat
	case current:
		if h.Leaving {
			o.withdrawEarlier(h)
			return nil
		}
		o.announce(h.Announcement, h.StartMs, h.ColdFor)
	}
	return nil
}

// withdrawEarlier withdraws the backend server when an instance of it is leaving. One that
// was announced provisionally stays if it is another instance, which may have started later.
func (o *Owner) withdrawEarlier(leaving Heartbeat) {
	b := o.current()
	if b != nil && b.startMs == 0 && leaving.StartMs != 0 && b.announcement.Incarnation != leaving.Announcement.Incarnation {
		return
	}
	o.Withdraw(leaving.Announcement.Service)
}

// takeHeartbeat makes the instance of a heartbeat the current or the unconfirmed one, unless
// the heartbeat is stale.
func (o *Owner) takeHeartbeat(h Heartbeat) standing {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := instance{incarnation: h.Announcement.Incarnation, startMs: h.StartMs, sequence: h.Sequence}
	found := o.standing(next, h.Leaving)
	switch found {
	case current:
		o.instance = next
		if u := o.unconfirmed; u != nil && u.instance.startMs <= next.startMs {
			o.unconfirmed = nil
		}
		if h.Leaving {
			o.departures.add(next.incarnation, next.startMs)
		}
	case unknown, unknownEarlier:
		o.hold(h, next, found == unknownEarlier)
	}
	return found
}

// standing returns how a heartbeat is treated. It is stale if it is no newer than the last
// one of its instance, if the instance is leaving or departed, or if it started before
// one that is known.
func (o *Owner) standing(next instance, leaving bool) standing {
	latest, checked := o.instance, o.config.CheckHealth != nil
	if o.departures.contains(next.incarnation, next.startMs) {
		return stale
	}
	for _, known := range []*instance{&latest, o.unconfirmedInstance()} {
		if known != nil && known.same(next) && next.sequence <= known.sequence {
			return stale
		}
	}
	switch {
	case next.startMs < latest.startMs:
		// The clock may have been set back since the latest instance started.
		if checked && !leaving && o.backend == nil {
			return unknownEarlier
		}
		return stale
	case !checked, leaving, latest.same(next) && latest != instance{}, o.hasNameInUse(next):
		return current
	case o.unconfirmed != nil && next.startMs < o.unconfirmed.instance.startMs:
		return stale
	}
	return unknown
}

// unconfirmedInstance returns the instance that is not confirmed yet, or nil.
func (o *Owner) unconfirmedInstance() *instance {
	if o.unconfirmed == nil {
		return nil
	}
	return &o.unconfirmed.instance
}

// hasNameInUse reports whether the instance has the name of the backend server in use: a
// health check announced it provisionally, or it has restarted under its name and may be
// cold.
func (o *Owner) hasNameInUse(next instance) bool {
	return o.backend != nil && o.backend.announcement.Incarnation == next.incarnation
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

// Announced reports whether the owner has received a heartbeat, has a backend server,
// or was told of one that is leaving or has departed.
func (o *Owner) Announced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.instance != (instance{}) || o.unconfirmed != nil || o.departures.uses > 0 || o.backend != nil
}

// MarkDeparted records that the instance with that incarnation has departed: its
// process has ended. If its backend server is in use, also one that was announced
// provisionally, it is withdrawn. A late heartbeat of a departed instance is stale.
// startMs is the start time of the instance in Unix milliseconds, 0 if unknown.
func (o *Owner) MarkDeparted(incarnation string, startMs int64) {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	if b := o.depart(incarnation, startMs); b != nil {
		o.Withdraw(b.announcement.Service)
	}
}

// depart records the departure, and returns the backend server if it is the one that has
// departed.
func (o *Owner) depart(incarnation string, startMs int64) *backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	startMs = o.departedStart(incarnation, startMs)
	o.departures.add(incarnation, startMs)
	if u := o.unconfirmed; u != nil && u.instance.incarnation == incarnation && u.instance.startMs <= startMs {
		o.unconfirmed = nil
	}
	b := o.backend
	if b == nil || b.announcement.Incarnation != incarnation || b.startMs > startMs {
		return nil
	}
	return b
}

// departedStart returns the start time up to which the instances of an incarnation have
// departed, given the one that was stated, 0 if none.
func (o *Owner) departedStart(incarnation string, startMs int64) int64 {
	stated := startMs != 0
	found := false
	for _, known := range []*instance{&o.instance, o.unconfirmedInstance()} {
		if known == nil || known.incarnation != incarnation || (stated && known.startMs > startMs) {
			continue
		}
		found = true
		startMs = max(startMs, known.startMs)
	}
	if !stated && !found {
		return time.Now().UnixMilli()
	}
	return startMs
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
