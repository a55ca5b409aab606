package quota

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxRefusedShare is the share of requests within the rate that may be refused
// while all hosts are healthy.
const maxRefusedShare = 0.001

// TestRefusedWithinRate sends 95 % of the rate, most of it at few hosts, and
// counts the refused requests that the reference bucket would have served.
func TestRefusedWithinRate(t *testing.T) {
	tests := map[string]struct {
		zones []int
		limit Limit
		// sending is how long the account sends.
		sending time.Duration
	}{
		"6 hosts, burst of a quarter second":  {zones: []int{2, 2, 2}, limit: Limit{Rate: 400, Burst: 100}, sending: 2 * time.Minute},
		"6 hosts, burst of a second":          {zones: []int{2, 2, 2}, limit: Limit{Rate: 400, Burst: 400}, sending: 2 * time.Minute},
		"16 hosts, burst of a quarter second": {zones: []int{4, 4, 4, 4}, limit: Limit{Rate: 400, Burst: 100}, sending: 2 * time.Minute},
		"16 hosts, burst of a second":         {zones: []int{4, 4, 4, 4}, limit: Limit{Rate: 400, Burst: 400}, sending: 2 * time.Minute},
		"16 hosts, small account":             {zones: []int{4, 4, 4, 4}, limit: Limit{Rate: 20, Burst: 20}, sending: 20 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9, map[string]Limit{"a": test.limit}, Timing{}, test.zones...)
			f.startAll()
			f.run(90 * time.Second)
			messages := f.messages
			f.sendLoad(test.sending, 0.95, f.skewedNode)
			f.run(test.sending + time.Second)
			spent, refused := len(f.spent["a"]), len(f.refused["a"])
			expected := f.referenceRefusals("a")
			wrongShare := float64(refused-expected) / float64(spent+refused)
			t.Logf("%d served, %d refused, reference bucket refuses %d: %.4f%% refused within the rate; %.1f messages a second and host",
				spent, refused, expected, 100*wrongShare, float64(f.messages-messages)/test.sending.Seconds()/float64(len(f.nodes)))
			qt.Check(t, f.checkSpending(1), qt.IsNil)
			qt.Check(t, wrongShare < maxRefusedShare, qt.IsTrue)
		})
	}
}

// skewedNode picks a node from a geometric distribution: each one half as often
// as the one before it, and the last one as often as that.
func (f *fleet) skewedNode(rng *rand.Rand) *node {
	i := 0
	for i < len(f.nodes)-1 && rng.IntN(2) == 0 {
		i++
	}
	return f.nodes[i]
}

// referenceRefusals counts the refusals of a reference bucket for the same
// arrivals.
func (f *fleet) referenceRefusals(name string) int {
	limit := f.limits[name]
	tokens, at, count := limit.Burst, epoch, 0
	for _, t := range f.arrivals[name] {
		tokens = min(limit.Burst, tokens+limit.Rate*t.Sub(at).Seconds())
		at = t
		if tokens < 1 {
			count++
			continue
		}
		tokens--
	}
	return count
}

// TestDeadHostsFractionIsReclaimed kills a host permanently and bounds the time
// until its fraction is granted to other hosts.
func TestDeadHostsFractionIsReclaimed(t *testing.T) {
	timing := Timing{}.withDefaults()
	f := newFleet(3, map[string]Limit{"a": {Rate: 100, Burst: 50}}, timing, 3, 3)
	f.startAll()
	f.run(90 * time.Second)
	f.kill(f.nodes[1])
	f.announceAll()
	killed := f.now
	sum := func() float64 {
		granted := 0.0
		for _, n := range f.nodes {
			if n.m != nil {
				granted += n.m.delegations.fraction
			}
		}
		return granted
	}
	for sum() < 0.99 && f.now.Sub(killed) < 5*time.Minute {
		f.run(100 * time.Millisecond)
	}
	bound := timing.DeadAfter + timing.reclaimDelay() + 2*timing.PollInterval
	t.Logf("a dead host's fraction was used again after %v", f.now.Sub(killed))
	qt.Assert(t, f.now.Sub(killed) <= bound, qt.IsTrue)
}

func BenchmarkSpend(b *testing.B) {
	m := New(Config{Host: "h", Zone: "z", Incarnation: 1})
	m.SetAccounts(map[string]Limit{"a": {Rate: 1e9, Burst: 1e9}})
	a := m.accounts["a"]
	a.heldLoans = []heldLoan{{expiresAt: time.Now().Add(time.Hour), remaining: b.N + 1}}
	b.ReportAllocs()
	for b.Loop() {
		if len(a.heldLoans) == 0 || a.heldLoans[0].remaining == 0 {
			a.heldLoans = []heldLoan{{expiresAt: time.Now().Add(time.Hour), remaining: 1 << 30}}
		}
		if err := m.Spend(b.Context(), "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHome measures one renewal and one request for tokens from each
// delegating host. It reports the size of both messages, with their answers, as
// net/rpc encodes them.
func BenchmarkHome(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkHome(b, hosts) })
	}
}

func benchmarkHome(b *testing.B, hosts int) {
	timing := Timing{}.withDefaults()
	h := newHome(1, epoch, timing)
	h.setAccounts(epoch, map[string]Limit{"a": {Rate: 1e6, Burst: 1e6}})
	now := epoch
	mask := partitionMask(0).with(partitionOf("a"))
	args := make([]DelegateArgs, hosts)
	for i := range args {
		args[i] = DelegateArgs{
			Host:            fmt.Sprintf("host-%d", i),
			Incarnation:     1,
			HomeIncarnation: 1,
			Fraction:        1 / float64(hosts),
			Partitions:      uint16(mask),
		}
	}
	borrow := BorrowArgs{Host: "host-1", HomeIncarnation: 1, Items: []BorrowItem{{
		Account: "a", Prefetch: 20, Reports: []LoanReport{{Loan: 1, Spent: 20}},
	}}}
	header, answer := &rpc.Request{ServiceMethod: "Quota.Delegate", Seq: 1000}, &rpc.Response{ServiceMethod: "Quota.Delegate", Seq: 1000}
	bytes := 2*gobSize(b, header, answer) + gobSize(b, &args[0], &DelegateReply{HomeIncarnation: 1, Stamp: time.Hour, Sequence: 1000, Partitions: 1}) +
		gobSize(b, &borrow, &BorrowReply{HomeIncarnation: 1, Results: []BorrowResult{{Loans: []Loan{{ID: 1, Count: 20, Life: time.Second}}, Minting: true}}})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(timing.RenewInterval)
		for i := range args {
			args[i].Sequence++
			args[i].Stamp = now.Sub(epoch)
			h.delegate(now, &args[i])
			h.borrow(now, &borrow)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(hosts), "ns/host-second")
	b.ReportMetric(float64(bytes), "bytes/host-second")
}

// gobSize returns the encoded size of values on a connection that has already
// sent their types.
func gobSize(b *testing.B, values ...any) int {
	size := 0
	for _, v := range values {
		var w countingWriter
		enc := gob.NewEncoder(&w)
		for range 2 {
			w = 0
			if err := enc.Encode(v); err != nil {
				b.Fatal(err)
			}
		}
		size += int(w)
	}
	return size
}

type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// BenchmarkLook measures one sampling of the demand of idle accounts.
func BenchmarkLook(b *testing.B) {
	for _, count := range []int{8, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			m := New(Config{Host: "h", Zone: "z", Incarnation: 1})
			limits := make(map[string]Limit, count)
			for i := range count {
				limits[fmt.Sprintf("account-%d", i)] = Limit{Rate: 1, Burst: 1}
			}
			m.SetAccounts(limits)
			m.SetHosts([]Host{{ID: "h", Zone: "z"}})
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(m.timing.PrefetchInterval)
				m.exchangeLoans(now)
			}
		})
	}
}
