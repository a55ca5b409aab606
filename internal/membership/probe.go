package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// probeNext probes the next member of the current round. In a round, each live
// member is probed once, in random order.
func (l *List) probeNext(ctx context.Context) {
	target, ok := l.nextTarget()
	if !ok {
		return
	}
	updates := l.roster.takeUpdates()
	l.wg.Go(func() { l.probe(ctx, target, updates) })
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

// ping sends a ping with the changes that the roster is to send next.
func (l *List) ping(ctx context.Context, address string) error {
	var updates []Member
	if err := l.do(func() { updates = l.roster.takeUpdates() }); err != nil {
		return err
	}
	return l.pingWith(ctx, address, updates)
}

// syncWithRandomMember synchronizes with a random live member.
func (l *List) syncWithRandomMember(ctx context.Context) {
	for _, m := range l.sample(1) {
		l.wg.Go(func() { _ = l.syncWith(ctx, m.Address) })
	}
}

// syncWith synchronizes rosters with the node at the address: both merge the
// members of the buckets in which they differ.
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
	})
	if err != nil || len(toSend) == 0 {
		return err
	}
	return l.config.Peers.Call(ctx, address, "Membership.Merge", &Ping{From: l.config.ID, Updates: toSend}, &Pong{})
}

// reconnect synchronizes with a random dead member, so that the two sides of a
// partition find each other once it has healed. If this node knows no other live
// node, it also tries the seeds and the directory.
func (l *List) reconnect(ctx context.Context) {
	var dead []string
	for _, m := range l.roster.members {
		if !m.Live() {
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
