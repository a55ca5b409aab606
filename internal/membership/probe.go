package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// crossZoneSyncers is the mean number of nodes of a zone that exchange their rosters with
// other zones at a time.
const crossZoneSyncers = 16

// probeNext probes the next member of the current round. In a round, each live
// member is probed once, in random order. If that member is in another zone, changes
// that the own zone is still to learn are sent there separately.
func (l *List) probeNext(ctx context.Context) {
	target, ok := l.nextTarget()
	if !ok {
		return
	}
	updates := l.roster.takeUpdatesFor(target.ID)
	l.wg.Go(func() { l.probe(ctx, target, updates) })
	if target.Zone != l.config.Zone {
		l.tellZone(ctx)
	}
}

// tellZone sends changes to a random member of the own zone, if there are any.
func (l *List) tellZone(ctx context.Context) {
	mates := l.sampleOf(1, func(m Member) bool { return m.Zone == l.config.Zone })
	if len(mates) == 0 {
		return
	}
	updates := l.roster.takeZoneUpdates()
	if len(updates) == 0 {
		return
	}
	l.wg.Go(func() { _ = l.pingWith(ctx, mates[0].Address, updates) }) // A probe will notice if it is gone.
}

func (l *List) nextTarget() (Member, bool) {
	for {
		if len(l.probeOrder) == 0 && !l.startRound() {
			return Member{}, false
		}
		id := l.probeOrder[len(l.probeOrder)-1]
		l.probeOrder = l.probeOrder[:len(l.probeOrder)-1]
		if m := l.roster.members[id]; m.Live() {
			return m, true
		}
	}
}

// startRound starts a new round of probes. It returns false if there is no member
// to probe.
func (l *List) startRound() bool {
	for _, m := range l.roster.live() {
		if m.ID != l.config.ID {
			l.probeOrder = append(l.probeOrder, m.ID)
		}
	}
	rand.Shuffle(len(l.probeOrder), func(i, j int) { l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i] })
	return len(l.probeOrder) > 0
}

// probe pings the target, and asks other nodes to ping it if it does not answer. If
// it does not answer them either, the target becomes a suspect.
func (l *List) probe(ctx context.Context, target Member, updates []Member) {
	if l.pingWith(ctx, target.Address, updates) == nil {
		return
	}
	metricProbesFailed.Add(1)
	if l.probeThroughRelays(ctx, target) || ctx.Err() != nil {
		return
	}
	l.post(func() {
		if l.roster.suspect(target.ID, time.Now()) {
			logChange(l.roster.members[target.ID])
		}
	})
}

func (l *List) probeThroughRelays(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	results := make(chan bool, relayCount)
	relaysAsked := 0
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, relay := range l.sample(relayCount + 1) {
		if relay.ID == target.ID || relaysAsked == relayCount {
			continue
		}
		relaysAsked++
		wg.Go(func() {
			args := PingRequest{Target: target.Address}
			err := l.config.Peers.Call(ctx, relay.Address, "Membership.PingRequest", &args, &Pong{})
			results <- err == nil
		})
	}
	for range relaysAsked {
		if <-results {
			cancel()
			return true
		}
	}
	return false
}

// pingWith sends a ping with the updates and merges those in the response.
func (l *List) pingWith(ctx context.Context, address string, updates []Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply Pong
	args := Ping{From: l.config.ID, Updates: updates}
	if err := l.config.Peers.Call(ctx, address, "Membership.Ping", &args, &reply); err != nil {
		return err
	}
	l.post(func() { l.mergeAll(reply.Updates) })
	return nil
}

// ping sends a ping with the changes that the roster is to send next, and with the
// record of this node.
func (l *List) ping(ctx context.Context, address string) error {
	var updates []Member
	err := l.do(func() {
		updates = append(l.roster.takeUpdatesFor(l.roster.idOf(address)), l.roster.members[l.config.ID])
	})
	if err != nil {
		return err
	}
	return l.pingWith(ctx, address, updates)
}

// syncWithRandomMember synchronizes with a random live member: of this node's zone, or
// of any zone if this node exchanges rosters across zones now.
func (l *List) syncWithRandomMember(ctx context.Context) {
	anyZone := l.syncsAcrossZones(l.roster.zoneMates)
	members := l.sampleOf(1, func(m Member) bool { return anyZone || m.Zone == l.config.Zone })
	for _, m := range members {
		l.wg.Go(func() { _ = l.syncWith(ctx, m.Address) })
	}
}

// syncWith synchronizes rosters with the node at the address: both merge the
// members of the buckets in which they differ. A node of another zone gets only members
// of this node's zone, since it learns of the others more cheaply from its own.
func (l *List) syncWith(ctx context.Context, address string) error {
	var digest Digest
	if err := l.do(func() { digest.Buckets = l.roster.digests }); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*probeTimeout)
	defer cancel()
	var difference Difference
	if err := l.config.Peers.Call(ctx, address, "Membership.Compare", &digest, &difference); err != nil {
		return err
	}
	var toSend []Member
	err := l.do(func() {
		toSend = l.roster.differingMembers(difference.Buckets)
		l.mergeAll(difference.Members)
		if id := l.roster.idOf(address); id != "" && !l.roster.isInZone(id) {
			toSend = slices.DeleteFunc(toSend, func(m Member) bool { return m.Zone != l.config.Zone })
		}
	})
	if err != nil || len(toSend) == 0 {
		return err
	}
	return l.config.Peers.Call(ctx, address, "Membership.Merge", &Ping{From: l.config.ID, Updates: toSend}, &Pong{})
}

// reconnect synchronizes with a random dead member, so that the two sides of a
// partition find each other once it has healed. Of a large zone, only some nodes do so
// with members of other zones each time. If this node knows no other live node, it also
// tries the seeds and the directory.
func (l *List) reconnect(ctx context.Context) {
	var dead []string
	crossZone := l.syncsAcrossZones(l.roster.zoneMates)
	for _, m := range l.roster.members {
		if !m.Live() && (crossZone || m.Zone == l.config.Zone) {
			dead = append(dead, m.Address)
		}
	}
	if len(dead) > 0 {
		address := dead[rand.IntN(len(dead))]
		l.wg.Go(func() { _ = l.syncWith(ctx, address) })
	}
	if len(l.Members()) == 1 {
		l.wg.Go(func() { l.discover(ctx) })
	}
}

// syncsAcrossZones reports whether this node exchanges its roster with another zone now,
// as crossZoneSyncers nodes of a zone with the given number of hosts do on average.
func (l *List) syncsAcrossZones(hosts int) bool {
	return rand.IntN(max(hosts, 1)) < crossZoneSyncers
}
