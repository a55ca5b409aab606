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
	"curranthold.example/curranthold/pkg/object"
)

const (
	// announcementTTL is the default of Config.AnnouncementTTL.
	announcementTTL = 4 * time.Second
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 4 << 10
)

// Announcement describes a backend server. The backend server sends it about once a
// second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:PORT at which the backend server accepts calls.
	Address string `json:"address"`
	// Slots is the number of concurrent calls that it can serve when warm.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts; 0 means Slots.
	Connections int `json:"connections"`
	// Cold is set while the backend server is in cold start.
	Cold bool `json:"cold"`
	// Version is the version of the backend server, empty if it states none.
	Version string `json:"version"`
	// Incarnation is the name of this instance of the backend server. Instances
	// with the same name are distinguished by the start times in their heartbeats.
	Incarnation string `json:"incarnation"`
}

// problem describes why the announcement is invalid, or returns "" if it is valid.
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
	if a.Version != "" && !object.ValidVersion(a.Version) {
		return "version must have at most 128 visible ASCII characters"
	}
	return ""
}

// Announce makes the announced backend server the current one: the owner sends calls
// to it.
func (o *Owner) Announce(a Announcement) {
	o.announce(a, 0, 0)
}

// incarnationID returns an identifier of an instance of a backend server: its
// incarnation, followed by its start time if that is known.
func incarnationID(incarnation string, startMs int64) string {
	if startMs == 0 {
		return incarnation
	}
	return incarnation + "/" + strconv.FormatInt(startMs, 10)
}

// setBackend sets the current backend server and reports whether it changed. It keeps the
// open connections, and what is known of the instance, if the instance, address, slots and
// connection limit are unchanged.
func (o *Owner) setBackend(a Announcement, startMs int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastAnnounced = time.Now()
	old := o.backend
	if old != nil && old.announcement == a && old.startMs == startMs {
		return false
	}
	if old != nil && old.startMs == startMs && sameConnections(old.announcement, a) {
		o.backend = &backend{announcement: a, startMs: startMs, transport: old.transport, echoes: old.echoes}
		return true
	}
	o.backend = newBackend(a, startMs, &o.config)
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return true
}

// sameConnections reports whether connections opened for a can be used for b.
func sameConnections(a, b Announcement) bool {
	return a.Address == b.Address && a.Connections == b.Connections && a.Slots == b.Slots
}

// Withdraw removes the backend server of a service until it is announced again.
// Subsequent answers report 0 slots, so that entries stop choosing this host.
func (o *Owner) Withdraw(service string) {
	o.mu.Lock()
	old := o.backend
	if old == nil || old.announcement.Service != service {
		o.mu.Unlock()
		return
	}
	o.backend = nil
	o.mu.Unlock()
	o.config.Admission.Announce(admission.Announcement{Incarnation: incarnationID(old.announcement.Incarnation, old.startMs)})
	eventWithdrawn.Log(event.Fields{"service": service})
	o.notify(Announcement{})
}

// Expire withdraws the backend server if its announcement was not repeated within
// AnnouncementTTL.
func (o *Owner) Expire(now time.Time) {
	o.mu.Lock()
	b, seen := o.backend, o.lastAnnounced
	o.mu.Unlock()
	if b != nil && now.Sub(seen) > cmp.Or(o.config.AnnouncementTTL, announcementTTL) {
		o.Withdraw(b.announcement.Service)
	}
}

func (o *Owner) notify(a Announcement) {
	if o.config.OnBackendChange != nil {
		o.config.OnBackendChange(a)
	}
}

func (o *Owner) current() *backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backend
}

// ServeAnnounce handles an announcement. If the method is DELETE, it withdraws the
// backend server of the service in the query.
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
