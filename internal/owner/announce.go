package owner

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/event"
)

const (
	// announcementTTL stands in for an AnnouncementTTL of 0.
	announcementTTL = 4 * time.Second
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
)

// Announcement is what a backend server says of itself, about once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:PORT at which the backend server takes calls.
	Address string `json:"address"`
	// Slots is how many calls it serves at a time when it is warm.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts; 0 stands for Slots.
	Connections int `json:"connections"`
	// Cold is set while the backend server is in cold start.
	Cold bool `json:"cold"`
	// Incarnation changes with each start of the backend server.
	Incarnation string `json:"incarnation"`
}

// problem returns what is wrong with the announcement, or "".
func (a Announcement) problem() string {
	if a.Service == "" {
		return "service is required"
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address must be an IP address with a port"
	}
	if a.Slots < 1 {
		return "slots must be at least 1"
	}
	if a.Connections < 0 {
		return "connections must not be negative"
	}
	return ""
}

// Announce takes in an announcement.
func (o *Owner) Announce(a Announcement) {
	o.announce(a, 0, 0)
}

// incarnation tells starts of a backend server apart, also those under one name.
func incarnation(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "/" + strconv.FormatInt(born, 10)
}

// setBackend replaces the backend server and reports whether it changed.
func (o *Owner) setBackend(a Announcement, born int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSeen = time.Now()
	old := o.backend
	if old != nil && old.announcement == a && old.born == born {
		return false
	}
	if old != nil && old.born == born && sameConnections(old.announcement, a) {
		o.backend = &backend{announcement: a, born: born, transport: old.transport}
		return true
	}
	o.backend = newBackend(a, born, o.config.IdleTimeout)
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return true
}

func sameConnections(a, b Announcement) bool {
	return a.Address == b.Address && a.Connections == b.Connections && a.Slots == b.Slots
}

// Withdraw ends the announcement of a service until it is made again. The load
// that answers carry tells entries at once that the host bears nothing.
func (o *Owner) Withdraw(service string) {
	o.mu.Lock()
	old := o.backend
	if old == nil || old.announcement.Service != service {
		o.mu.Unlock()
		return
	}
	o.backend = nil
	o.mu.Unlock()
	o.config.Admission.Announce(admission.Announcement{Incarnation: incarnation(old.announcement.Incarnation, old.born)})
	eventWithdrawn.Log(event.Fields{"service": service})
	o.notify(Announcement{})
}

// Expire withdraws an announcement that was not repeated in time.
func (o *Owner) Expire(now time.Time) {
	o.mu.Lock()
	b, seen := o.backend, o.lastSeen
	o.mu.Unlock()
	if b != nil && now.Sub(seen) > cmp.Or(o.config.AnnouncementTTL, announcementTTL) {
		o.Withdraw(b.announcement.Service)
	}
}

func (o *Owner) notify(a Announcement) {
	if o.config.Changed != nil {
		o.config.Changed(a)
	}
}

func (o *Owner) current() *backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backend
}

// ServeAnnounce handles POST and DELETE of an announcement.
func (o *Owner) ServeAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		o.Withdraw(r.URL.Query().Get("service"))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.problem(); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	o.Announce(a)
	w.WriteHeader(http.StatusNoContent)
}
