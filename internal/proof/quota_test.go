package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// maxExcessRefusals bounds the refusals beyond those of a single token bucket
	// while all hosts are connected, as a fraction of the requests sent.
	maxExcessRefusals = 0.001
	// maxPartitionRefusalTime bounds the time after the start of a partition in
	// which the partitioned zone may refuse requests that its hosts' quota fractions
	// allow.
	maxPartitionRefusalTime = 3 * time.Second
)

// quotaAccount is a client account that sends requests at rateFactor times its rate.
type quotaAccount struct {
	name        string
	rate, burst float64
	rateFactor  float64
}

// quotaFleet starts six hosts in two zones with the accounts, and returns the
// streams of calls that they send for a number of seconds.
func quotaFleet(t *testing.T, seconds float64, accounts ...quotaAccount) (*fleet, []standin.Stream) {
	var specs []hostSpec
	for i := range 6 {
		specs = append(specs, quotaHost(i))
	}
	objects := []string{
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindAvailabilityZone, "b", `{"in-service": true}`),
		objectJSON(object.KindService, "peals", `{}`),
		objectJSON(object.KindRoute, "peals", `{"path-prefix": "/peals", "service": "peals", "urgency": "normal", "timeout-ms": 2000}`),
	}
	for _, a := range accounts {
		spec := fmt.Sprintf(`{"rate": %v, "burst": %v}`, a.rate, a.burst)
		objects = append(objects, objectJSON(object.KindClientAccount, a.name, spec))
	}
	f := newFleet(t, specs, objects...)
	var plan []standin.Stream
	for _, a := range accounts {
		plan = append(plan, standin.Stream{
			Account: a.name, Key: f.createKey(a.name, a.name+"-1"), Method: "GET", Path: "/peals/x",
			Rate: a.rate * a.rateFactor, DurationS: seconds, DeadlineMs: 2000,
		})
	}
	return f, plan
}

func quotaHost(i int) hostSpec {
	zone := string(rune('a' + i%2))
	return hostSpec{fmt.Sprintf("peals-%d", i), zone, "peals", []string{"-slots", "60", "-service-time-ms", "2"}}
}

// chargeInterval is the interval in which the quota token of a request that ran was
// spent: after the caller sent the request, and before the run began.
type chargeInterval struct{ sent, ran time.Time }

// chargeIntervals returns the charge intervals of an account's requests that ran, in
// the order of their runs. A request that ran several times on a repeatable route
// was charged once, and counts once.
func chargeIntervals(account string, calls []history.Call, runs []history.Run) []chargeInterval {
	sent := make(map[string]time.Time, len(calls))
	for _, call := range calls {
		sent[call.RequestID] = call.Start
	}
	first := make(map[string]chargeInterval)
	for _, run := range runs {
		old, again := first[run.RequestID]
		if run.Account != account || again && !run.At.Before(old.ran) {
			continue
		}
		start, known := sent[run.RequestID]
		if !known {
			start = run.At
		}
		first[run.RequestID] = chargeInterval{sent: start, ran: run.At}
	}
	var intervals []chargeInterval
	for _, s := range first {
		intervals = append(intervals, s)
	}
	slices.SortFunc(intervals, func(a, b chargeInterval) int { return a.ran.Compare(b.ran) })
	return intervals
}

// checkWindows returns an error if more than burst + rate * window requests were
// charged within some window. It counts only requests that were both sent and run
// within the window, since these were certainly charged in it. Apart from that, it
// allows no tolerance.
func checkWindows(rate, burst float64, intervals []chargeInterval) error {
	for _, from := range intervals {
		count := 0.0
		for _, s := range intervals {
			if s.sent.Before(from.sent) {
				continue
			}
			count++
			window := s.ran.Sub(from.sent)
			if allowed := burst + rate*window.Seconds(); count > allowed {
				return fmt.Errorf("%v requests ran within %v from %v; at most %.2f are allowed", count, window, from.sent, allowed)
			}
		}
	}
	return nil
}

// checkQuota checks for every account that no window has more requests than the
// account's rate and burst allow.
func (f *fleet) checkQuota(calls []history.Call, accounts ...quotaAccount) {
	f.t.Helper()
	runs := f.runs()
	for _, a := range accounts {
		intervals := chargeIntervals(a.name, calls, runs)
		longest := time.Duration(0)
		for _, s := range intervals {
			longest = max(longest, s.ran.Sub(s.sent))
		}
		f.t.Logf("%s: %d requests ran, at most %v after they were sent", a.name, len(intervals), longest)
		qt.Check(f.t, len(intervals) > 0, qt.IsTrue)
		qt.Check(f.t, checkWindows(a.rate, a.burst, intervals), qt.IsNil, qt.Commentf("client account %s", a.name))
	}
}

// quotaRefusals considers the account's requests that were sent since a time. It
// returns the times at which those that were refused for quota were sent, the number
// of requests that a single token bucket would have refused, and the number sent.
func quotaRefusals(a quotaAccount, calls []history.Call, from time.Time) (refused []time.Time, bucketRefusals, sent int) {
	calls = slices.Clone(calls)
	slices.SortFunc(calls, func(a, b history.Call) int { return a.Start.Compare(b.Start) })
	tokens, lastSent := a.burst, time.Time{}
	for _, call := range calls {
		if call.Account != a.name || call.Start.Before(from) {
			continue
		}
		sent++
		if !lastSent.IsZero() {
			tokens = min(a.burst, tokens+a.rate*call.Start.Sub(lastSent).Seconds())
		}
		lastSent = call.Start
		if tokens < 1 {
			bucketRefusals++
		} else {
			tokens--
		}
		if strings.HasPrefix(call.Code, "quota-") {
			refused = append(refused, call.Start)
		}
	}
	return refused, bucketRefusals, sent
}

// TestCheckWindows checks that checkWindows detects even one request above the limit.
func TestCheckWindows(t *testing.T) {
	t.Parallel()
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	tests := map[string]struct {
		intervals []chargeInterval
		fails     bool
	}{
		"burst":                              {intervals: []chargeInterval{{at(0), at(0)}, {at(0), at(0)}}},
		"one above the burst":                {intervals: []chargeInterval{{at(0), at(0)}, {at(0), at(0)}, {at(0), at(99)}}, fails: true},
		"one more after a token is refilled": {intervals: []chargeInterval{{at(0), at(0)}, {at(0), at(0)}, {at(0), at(100)}}},
		"above the rate after the burst":     {intervals: []chargeInterval{{at(0), at(0)}, {at(500), at(500)}, {at(510), at(510)}, {at(520), at(520)}}, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, checkWindows(10, 2, test.intervals) != nil, qt.Equals, test.fails)
		})
	}
}

// timedAction is an action, such as the start of a fault, at a time after the start
// of the load.
type timedAction struct {
	at time.Duration
	do func()
}

// runActions runs the actions at their times.
func runActions(actions []timedAction) {
	start := time.Now()
	slices.SortStableFunc(actions, func(a, b timedAction) int { return cmp.Compare(a.at, b.at) })
	for _, action := range actions {
		time.Sleep(time.Until(start.Add(action.at)))
		action.do()
	}
}

func (f *fleet) suspend(h *host) { checkNoError(f.t, h.node.Suspend(f.ctx)) }
func (f *fleet) resume(h *host)  { checkNoError(f.t, h.node.Resume(f.ctx)) }

// TestQuotaUnderFaults kills and suspends nodes, partitions zones, and makes the
// platform unavailable while three accounts send requests, one of them at four times its
// rate. In no window may more requests of an account run than its rate and burst
// allow.
func TestQuotaUnderFaults(t *testing.T) {
	t.Parallel()
	accounts := []quotaAccount{
		{name: "bern", rate: 100, burst: 50, rateFactor: 0.5},
		{name: "chur", rate: 60, burst: 60, rateFactor: 0.8},
		{name: "visp", rate: 60, burst: 30, rateFactor: 4},
	}
	const seconds = 25
	f, plan := quotaFleet(t, seconds, accounts...)
	initialHosts := slices.Clone(f.hostList)
	f.addHost(quotaHost(6), 7)
	hosts := f.hostList
	outage := func(on bool) { f.control(f.platform.Ready(), fmt.Sprintf(`{"outage": %t}`, on)) }
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	done := make(chan struct{})
	var calls []history.Call
	go func() {
		defer close(done)
		_, calls = f.load(11, plan, initialHosts...)
	}()
	runActions([]timedAction{
		{ms(1000), func() { checkNoError(t, hosts[0].node.Kill()) }},
		{ms(2000), func() { f.startHost(hosts[6]) }},
		{ms(3000), func() { f.startNode(hosts[0]) }},
		{ms(4000), func() { f.suspend(hosts[1]) }},
		{ms(7000), func() { f.resume(hosts[1]) }},
		{ms(7500), func() { f.partitionZone("b") }},
		{ms(12500), f.restoreAll},
		{ms(13000), func() { outage(true) }},
		{ms(13500), func() { checkNoError(t, hosts[3].node.Kill()) }},
		{ms(15000), func() { f.startNode(hosts[3]) }},
		{ms(16000), func() { f.suspend(hosts[2]); f.suspend(hosts[5]) }},
		{ms(18500), func() { outage(false) }},
		{ms(20000), func() { f.resume(hosts[5]); f.resume(hosts[2]) }},
		{ms(21000), func() { f.suspend(hosts[4]); f.partitionZone("a") }},
		{ms(23500), func() { f.restoreAll(); f.resume(hosts[4]) }},
	})
	<-done
	f.checkHistory(calls)
	f.checkQuota(calls, accounts...)
}

// TestQuotaRefusals counts the refused requests of two accounts within their rate:
// first with all hosts connected, then in a zone that is partitioned from the other
// zone, and so from the hosts that hold the token buckets of both accounts (their
// homes). The rate of the requests stays within what the quota fractions of the
// partitioned zone's hosts allow.
func TestQuotaRefusals(t *testing.T) {
	accounts := []quotaAccount{
		{name: "bern", rate: 400, burst: 200, rateFactor: 0.4},
		{name: "chur", rate: 200, burst: 200, rateFactor: 0.4},
		{name: "visp", rate: 20, burst: 20, rateFactor: 4},
	}
	const beforePartition, afterPartition = 10 * time.Second, 10 * time.Second
	f, plan := quotaFleet(t, (beforePartition + afterPartition).Seconds(), accounts...)
	begin := time.Now()
	done := make(chan struct{})
	var calls []history.Call
	go func() {
		defer close(done)
		_, calls = f.load(12, plan, f.hostsInZone("a")...)
	}()
	time.Sleep(beforePartition)
	partitionedAt := time.Now()
	f.partitionZone("a")
	<-done
	f.checkQuota(calls, accounts...)
	var callsBeforePartition []history.Call
	for _, call := range calls {
		if call.Start.Before(partitionedAt) {
			callsBeforePartition = append(callsBeforePartition, call)
		}
	}
	for _, a := range accounts[:2] {
		refused, bucketRefusals, sent := quotaRefusals(a, callsBeforePartition, begin)
		excess := float64(len(refused)-bucketRefusals) / float64(sent)
		t.Logf("%s, all connected: %d of %d refused, a single bucket refuses %d", a.name, len(refused), sent, bucketRefusals)
		qt.Check(t, excess < maxExcessRefusals, qt.IsTrue)
		refused, _, sent = quotaRefusals(a, calls, partitionedAt)
		last := partitionedAt
		if len(refused) > 0 {
			last = refused[len(refused)-1]
		}
		t.Logf("%s, partitioned: %d of %d refused, the last %v after the start of the partition", a.name, len(refused), sent, last.Sub(partitionedAt))
		qt.Check(t, last.Sub(partitionedAt) <= maxPartitionRefusalTime, qt.IsTrue)
	}
}
