package configuration

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pollersPerZone is the number of hosts of a zone that poll the head row.
	pollersPerZone = 2
	// fanOutWidth is the number of hosts to which one host forwards a message.
	fanOutWidth = 8
	// departedRetention is the time for which surveys count a host that is no
	// longer live as unheard.
	departedRetention = 10 * time.Minute
)

// Host identifies one host and the address of its node.
type Host struct {
	ID      string
	Zone    string
	Address string
}

// view is a replica's list of live and recently departed hosts. It is immutable.
type view struct {
	zones     map[string]*zoneView
	byAddress map[string]Host
	byID      map[string]Host
	departed  map[string]departedHost
}

// departedHost is a host that is no longer live, with the time at which it left the
// list of live hosts.
type departedHost struct {
	host Host
	at   time.Time
}

// zoneView holds the hosts of one zone in the order of the hashes of their IDs.
// Hosts with the same list of hosts therefore have them in the same order.
type zoneView struct {
	hosts  []Host
	digest uint64
}

var emptyZone = &zoneView{}

func newView(hosts []Host) *view {
	v := &view{
		zones:     map[string]*zoneView{},
		byAddress: make(map[string]Host, len(hosts)),
		byID:      make(map[string]Host, len(hosts)),
		departed:  map[string]departedHost{},
	}
	for _, h := range hosts {
		if _, duplicate := v.byID[h.ID]; duplicate {
			continue
		}
		v.byID[h.ID] = h
		v.byAddress[h.Address] = h
		zone, ok := v.zones[h.Zone]
		if !ok {
			zone = &zoneView{}
			v.zones[h.Zone] = zone
		}
		zone.hosts = append(zone.hosts, h)
	}
	for _, zone := range v.zones {
		zone.sortHosts()
	}
	return v
}

// sortHosts sorts the hosts and computes the digest of the list.
func (z *zoneView) sortHosts() {
	slices.SortFunc(z.hosts, func(a, b Host) int {
		ha, hb := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		default:
			return strings.Compare(a.ID, b.ID)
		}
	})
	digest := xxhash.New()
	for _, h := range z.hosts {
		_, _ = digest.WriteString(h.ID + "\x00" + h.Address + "\x00")
	}
	z.digest = digest.Sum64()
}

// carryDeparted takes over the departed hosts of the previous view, and adds the
// hosts that were live in it and are not in v.
func (v *view) carryDeparted(previous *view, now time.Time) {
	for id, d := range previous.departed {
		if now.Sub(d.at) < departedRetention {
			v.departed[id] = d
		}
	}
	for id, h := range previous.byID {
		v.departed[id] = departedHost{host: h, at: now}
	}
	for id := range v.byID {
		delete(v.departed, id)
	}
}

// countDeparted returns the number of hosts of a zone that departed within
// departedRetention and are not in known.
func (v *view) countDeparted(zone string, known []Host, now time.Time) int {
	n := 0
	for id, d := range v.departed {
		sameID := func(h Host) bool { return h.ID == id }
		if d.host.Zone == zone && now.Sub(d.at) < departedRetention && !slices.ContainsFunc(known, sameID) {
			n++
		}
	}
	return n
}

func (v *view) zone(name string) *zoneView {
	if zone, ok := v.zones[name]; ok {
		return zone
	}
	return emptyZone
}

// position returns the index of a host in the zone's list, or -1.
func (z *zoneView) position(id string) int {
	return slices.IndexFunc(z.hosts, func(h Host) bool { return h.ID == id })
}

func (z *zoneView) span() span { return span{hosts: z.hosts, digest: z.digest} }

// Range tells the receiver of a message for which hosts the message is meant. The
// first of them is the receiver itself, which forwards it to the others.
type Range struct {
	// Digest identifies the list of the zone's hosts to which First and Count
	// refer.
	Digest uint64
	First  int
	Count  int
	// Hosts replaces the other fields if sender and receiver have different lists.
	Hosts []Host
}

// span is a resolved Range, with the hosts themselves. Its digest is 0 if it is not
// a part of the zone's list.
type span struct {
	hosts  []Host
	first  int
	digest uint64
}

// resolve returns the span of a range that another host sent; ok is false if that
// host has a different list of hosts.
func (z *zoneView) resolve(r Range) (s span, ok bool) {
	if len(r.Hosts) > 0 {
		return span{hosts: r.Hosts}, true
	}
	end := r.First + r.Count
	if r.Digest != z.digest || r.First < 0 || r.Count < 0 || end > len(z.hosts) {
		return span{}, false
	}
	return span{hosts: z.hosts[r.First:end], first: r.First, digest: z.digest}, true
}

// toRange returns the range to send for the span.
func (s span) toRange() Range {
	if s.digest == 0 {
		return s.explicitRange()
	}
	return Range{Digest: s.digest, First: s.first, Count: len(s.hosts)}
}

// explicitRange returns a range that lists the hosts.
func (s span) explicitRange() Range { return Range{Hosts: s.hosts} }

// rest returns the span without its first host.
func (s span) rest() span {
	return span{hosts: s.hosts[1:], first: s.first + 1, digest: s.digest}
}

// split divides s into at most fanOutWidth spans of about equal size.
func (s span) split() []span {
	n := len(s.hosts)
	parts := min(n, fanOutWidth)
	spans := make([]span, 0, parts)
	for i := range parts {
		from := i * n / parts
		to := (i + 1) * n / parts
		spans = append(spans, span{hosts: s.hosts[from:to], first: s.first + from, digest: s.digest})
	}
	return spans
}

// parent returns the position of the parent of the given position in the survey tree
// of a zone of n hosts: the first host of a span is the parent of the first host of
// each part into which the rest of the span is split. The root is position 0, whose
// parent is -1.
func parent(position, n int) int {
	parentPosition, first, count := -1, 0, n
	for first != position {
		parentPosition = first
		first++
		count--
		parts := min(count, fanOutWidth)
		for i := range parts {
			from, to := i*count/parts, (i+1)*count/parts
			if position-first < to {
				first, count = first+from, to-from
				break
			}
		}
	}
	return parentPosition
}
