package tally

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/quota"
)

// namedHome is a host that a home named as the home of a partition.
type namedHome struct {
	host  quota.Host
	until time.Time
}

// choosePrimaryHomes chooses the home of each partition from all live hosts.
func (m *Manager) choosePrimaryHomes() {
	for p := range m.primaryHomes {
		m.primaryHomes[p] = m.highestScoring(p, func(quota.Host) bool { return true })
	}
}

// home returns the home of a partition: the host with the highest score among those
// that are not avoided, or this host if all are avoided. These are the live hosts and
// the host that a home named as the partition's home.
func (m *Manager) home(p int, now time.Time) quota.Host {
	usable := func(h quota.Host) bool { return !now.Before(m.avoidedUntil[h.ID]) }
	best := m.highestScoring(p, usable)
	named := m.named[p]
	if now.Before(named.until) && usable(named.host) && homeScore(p, named.host.ID) > homeScore(p, best.ID) {
		return named.host
	}
	return best
}

// followHome considers which host a home names as the home of a partition; primary is
// zero if it names itself. The home may know of hosts of which this one has not heard. A
// home that names a host with a lower score is leaving.
func (m *Manager) followHome(p int, home string, primary quota.Host, now time.Time) {
	switch {
	case primary.ID == "":
	case homeScore(p, primary.ID) > homeScore(p, home):
		m.named[p] = namedHome{host: primary, until: now.Add(namedHomeTime)}
	default:
		m.avoidedUntil[home] = now.Add(homeAvoidTime)
	}
}

// highestScoring returns the eligible host with the highest score, or this host if
// none is eligible. A host that is leaving is no home: the other hosts do not report
// to it any more.
func (m *Manager) highestScoring(p int, eligible func(quota.Host) bool) quota.Host {
	best := quota.Host{ID: m.config.Host, Zone: m.config.Zone}
	bestScore := uint64(0)
	for _, h := range m.hosts {
		if m.leaving && h.ID == m.config.Host {
			continue
		}
		if s := homeScore(p, h.ID); s >= bestScore && eligible(h) {
			best, bestScore = h, s
		}
	}
	return best
}

// avoidHome temporarily excludes a host from being chosen as a home, because it did not
// answer a report. If it is in another zone and that zone may be unreachable, all hosts
// of the zone are excluded.
func (m *Manager) avoidHome(home quota.Host, err error) {
	failedReports.Add(1)
	m.mu.Lock()
	now := m.config.Now()
	_, avoidedBefore := m.avoidedUntil[home.ID]
	wholeZone := home.Zone != m.config.Zone && (isTimeout(err) || m.avoidsOtherIn(home))
	avoid := func(id string) { m.avoidedUntil[id] = now.Add(homeAvoidTime + rand.N(homeAvoidTime/4)) }
	avoid(home.ID)
	for _, h := range m.hosts {
		if wholeZone && h.Zone == home.Zone {
			avoid(h.ID)
		}
	}
	m.mu.Unlock()
	if !avoidedBefore {
		eventHomeLost.Log(event.Fields{"home": home.ID, "zone": home.Zone, "error": err.Error()})
	}
}

// isTimeout reports whether a report failed because nothing answered. A report that
// fails at once reached the host, whose process has probably ended.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// avoidsOtherIn reports whether another host in the zone of home is avoided.
func (m *Manager) avoidsOtherIn(home quota.Host) bool {
	return slices.ContainsFunc(m.hosts, func(h quota.Host) bool {
		_, avoided := m.avoidedUntil[h.ID]
		return avoided && h.Zone == home.Zone && h.ID != home.ID
	})
}
