// Package membership lets nodes find each other and keeps track of which of
// them are alive.
//
// It implements the SWIM protocol (Das, Gupta, Motivala, 2002). Each node probes
// one other node at a time. A target that answers neither directly nor through
// other nodes becomes a suspect, and a suspect that does not refute the suspicion
// in time is declared dead. Changes are sent along with probes and their responses,
// so the number of messages per node does not grow with the number of nodes.
package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as a node knows it.
type State uint8

// The states, in order of precedence: of two records with the same version of a
// member, the one with the later state wins.
const (
	// Alive means that the member answers probes.
	Alive State = iota
	// Suspect means that the member did not answer a probe and has not refuted
	// the suspicion yet. A leaving member is never a suspect: it goes straight
	// to Dead.
	Suspect
	// Dead means that the member is considered gone until it announces itself
	// with a newer version.
	Dead
)

var stateNames = [...]string{"alive", "suspect", "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Member is the record of one node that the nodes exchange.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Incarnation grows with each start of the node.
	Incarnation uint64 `json:"incarnation"`
	// Version grows with each change that the node itself announces.
	Version uint64 `json:"version"`
	State   State  `json:"state"`
	// Leaving is set on a member that has announced that it is leaving: it still
	// serves new calls for a short time, then refuses them and finishes the others.
	Leaving bool `json:"leaving,omitempty"`
	// Service is the service that the backend server on the host announced;
	// empty if there is no backend server.
	Service string `json:"service,omitempty"`
	// Slots is the number of calls that the backend server can serve at the same
	// time once its cold start is over.
	Slots int `json:"slots,omitempty"`
	// Cold is set during the backend server's cold start.
	Cold bool `json:"cold,omitempty"`
	// BackendVersion is the version that the backend server announced, empty if it
	// announced none.
	BackendVersion string `json:"backend-version,omitempty"`
	// Candidate is set while the version of the backend server is not in force: the host
	// gets no calls but those that a rollout sends there.
	Candidate bool `json:"candidate,omitempty"`
}

// Live reports whether the member is not dead. A suspect is live.
func (m Member) Live() bool { return m.State != Dead }

// compare orders two records of the same member by age; it returns a positive
// number if m is the newer one.
func (m Member) compare(other Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Version, other.Version),
		cmp.Compare(m.State, other.State),
	)
}

// digest returns a hash of the member's ID, incarnation, version and state.
func (m Member) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.ID)
	var version [17]byte
	for i := range 8 {
		version[i] = byte(m.Incarnation >> (8 * i))
		version[8+i] = byte(m.Version >> (8 * i))
	}
	version[16] = byte(m.State)
	_, _ = h.Write(version[:])
	return h.Sum64()
}

// newIncarnation returns an incarnation greater than those of earlier starts,
// provided that the host's clock was not set back.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixNano())
}
