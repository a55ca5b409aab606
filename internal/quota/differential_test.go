package quota

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shortTiming lets many leases and reclaims take place in a short simulation.
var shortTiming = Timing{
	Lease:                2 * time.Second,
	RenewInterval:        400 * time.Millisecond,
	PrefetchLoanLife:     400 * time.Millisecond,
	DemandLife:           100 * time.Millisecond,
	PrefetchInterval:     100 * time.Millisecond,
	ConfirmationValidity: 4 * time.Second,
	PollInterval:         time.Second,
	DeadAfter:            2 * time.Second,
}

// fault is one failure that lasts for a limited time.
type fault struct {
	Kind string
	At   time.Duration
	For  time.Duration
	Node int
}

var faultKinds = []string{
	"restart", "freeze", "freeze-reported", "isolate", "partition-zones", "table-down",
	"no-table", "wrong-hosts", "replace",
}

const faultPeriod = 60 * time.Second

func drawFaults(t *rapid.T, nodes int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			At:   time.Duration(rapid.IntRange(0, int(faultPeriod/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			For:  time.Duration(rapid.IntRange(50, 20_000).Draw(t, "for")) * time.Millisecond,
			Node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
		}
	}), 0, 24).Draw(t, "faults")
}

// injectFault schedules the beginning and the end of a fault.
func (f *fleet) injectFault(x fault) {
	n := f.nodes[x.Node]
	f.after(x.At, func() {
		switch x.Kind {
		case "restart", "replace":
			f.kill(n)
		case "freeze", "freeze-reported":
			n.resumesAt = f.now.Add(x.For)
		case "isolate":
			n.isolated = true
		case "partition-zones":
			f.partitioned = func(a, b *node) bool { return a.host.Zone != b.host.Zone }
		case "table-down":
			f.table.down = true
		case "no-table":
			n.noTable = true
		case "wrong-hosts":
			f.runOn(n, n.m, func() { n.m.SetHosts([]Host{n.host}) })
			return
		}
		if x.Kind != "freeze" {
			f.after(500*time.Millisecond, f.announceAll)
		}
		f.after(x.For, func() { f.endFault(x) })
	})
}

func (f *fleet) endFault(x fault) {
	n := f.nodes[x.Node]
	switch x.Kind {
	case "replace":
		if !n.up {
			id := fmt.Sprintf("%s-%d", n.host.ID, n.incarnation)
			n.host = Host{ID: id, Zone: n.host.Zone, Address: id}
		}
	case "isolate":
		n.isolated = false
	case "partition-zones":
		f.partitioned = nil
	case "table-down":
		f.table.down = false
	case "no-table":
		n.noTable = false
	}
	if !n.up {
		f.start(n)
	}
	f.after(500*time.Millisecond, f.announceAll)
}

// checkRoster returns an error if the zones' shares sum to more than 1, or if the
// hosts of a zone hold more than its share.
func (f *fleet) checkRoster() error {
	if f.table.writes == f.table.checkedWrites {
		return nil
	}
	f.table.checkedWrites = f.table.writes
	shares, err := decodeZones(f.table.rows[zonesKey].Value)
	if err != nil {
		return err
	}
	if sum := shares.sum(); sum > 1 {
		return fmt.Errorf("shares of the zones sum to %v", sum)
	}
	for zone, share := range shares.Shares {
		r, err := decodeRoster(f.table.rows[rosterPrefix+zone].Value)
		if err != nil {
			return err
		}
		if heldTotal := r.heldTotal(); heldTotal > share+1e-12 {
			return fmt.Errorf("zone %s holds %v of its share %v", zone, heldTotal, share)
		}
	}
	return nil
}

// checkCapacity returns an error if the fleet could spend more than an account's
// burst at this moment, or refills its buckets at more than its rate. Tokens in
// messages are not counted.
func (f *fleet) checkCapacity() error {
	for name, limit := range f.limits {
		p := partitionOf(name)
		tokens, fraction := 0.0, 0.0
		for _, n := range f.nodes {
			if n.m == nil {
				continue
			}
			now := f.clock(n)
			a, d, h := n.m.accounts[name], n.m.delegations, n.m.home
			h.advancePartition(now, p)
			tokens += h.accounts[name].bucket.tokens
			fraction += h.partitions[p].fraction
			for _, l := range a.heldLoans {
				if now.Before(l.expiresAt) {
					tokens += float64(l.remaining)
				}
			}
			if a.refilling && now.Before(d.usableUntil) {
				a.advance(now)
				tokens += a.ownBucket.tokens
				fraction += a.fraction
			}
		}
		if tokens > limit.Burst+1e-6 || fraction > 1 {
			return fmt.Errorf("%v: client account %s: %v tokens, fraction %v", f.now.Sub(epoch), name, tokens, fraction)
		}
	}
	return nil
}

// TestDifferential compares the fleet with the reference bucket under random
// faults of hosts, the network and the table. To replay a failure, pass the flag
// that rapid prints.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]Limit{
			"steady": {Rate: 60, Burst: 20},
			"bursty": {Rate: 1, Burst: 60},
		}
		zones := rapid.SampledFrom([][]int{{1}, {2, 1}, {3, 3}, {5}, {2, 2, 2}, {4, 1, 1}}).Draw(t, "zones")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), limits, shortTiming, zones...)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		f.duplicate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate")
		f.late = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "late")
		rateFactor := 1.0
		if rapid.Bool().Draw(t, "drift") {
			rateFactor = 1.01
		}
		late := rapid.Bool().Draw(t, "zones join late")
		for _, n := range f.nodes {
			n.drift = (f.rng.Float64()*2 - 1) * (rateFactor - 1)
			if n.host.Zone == "z0" || !late {
				f.start(n)
				continue
			}
			f.after(5*time.Second, func() { f.start(n); f.announceAll() })
		}
		f.announceAll()
		f.run(15 * time.Second)
		for _, x := range drawFaults(t, len(f.nodes)) {
			f.injectFault(x)
		}
		f.sendBursts(faultPeriod + 30*time.Second)
		for end := f.now.Add(faultPeriod + 30*time.Second); f.now.Before(end); {
			f.run(20 * time.Millisecond)
			if err := errors.Join(f.checkRoster(), f.checkCapacity()); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.checkSpending(rateFactor); err != nil {
			t.Fatal(err)
		}
	})
}

// sendBursts lets every account alternate at random, for d, between sending at
// several times its rate and sending nothing, so that its tokens accumulate.
func (f *fleet) sendBursts(d time.Duration) {
	for at := time.Duration(0); at < d; {
		length := time.Duration(f.rng.IntN(4000)) * time.Millisecond
		if f.rng.IntN(3) > 0 {
			share := 1 + 3*f.rng.Float64()
			f.after(at, func() {
				f.sendLoad(length, share, f.anyNode)
				for range 80 {
					f.spend(f.anyNode(f.rng), "bursty")
				}
			})
		}
		at += length
	}
}
