package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
)

const (
	surgeDuration    = 6 * time.Second
	recoveryDuration = 6 * time.Second
	surgeSeed        = 7
	// surgeSlots is the number of slots of each of the two backend servers of the
	// deepest service, peals, which is the last in the chain of nested calls.
	surgeSlots        = 4
	normalServiceTime = 25 * time.Millisecond
	slowedServiceTime = 50 * time.Millisecond
	surgeDeadlineMs   = 1000
	// surgeCapacity is the capacity of the deepest service while it is slow, in
	// calls per second.
	surgeCapacity = 2 * surgeSlots * float64(time.Second) / float64(slowedServiceTime)
)

// overloadMechanisms holds the names of all mechanisms against overload.
var overloadMechanisms = []string{
	"concurrency-limit", "urgency-order", "depth-order", "fair-order", "urgent-reserve", "deadline-drop",
	"refusal-cut", "silent-cold-detection", "early-refusal", "retry-budget", "throttle",
}

// surgeAccount is one client account that takes part in the surge.
type surgeAccount struct {
	// limit is the rate of the account's quota, and demand the rate at which it
	// calls in the surge, both in calls per second.
	limit, demand float64
}

var surgeAccounts = map[string]surgeAccount{
	"bern": {400, 120}, "chur": {400, 120}, "thun": {400, 120}, "greedy": {100, 400},
}

// surgePaths holds the path of the calls of each urgency, and their fraction of an
// account's calls.
var surgePaths = map[string]struct {
	path     string
	fraction float64
}{
	"urgent": {"/toll", 0.1}, "normal": {"/rota", 0.5}, "deferrable": {"/board", 0.4},
}

func surgeFleet(t *testing.T, disabled []string) *fleet {
	var specs []hostSpec
	for _, zone := range []string{"a", "b"} {
		specs = append(specs,
			hostSpec{"rota-" + zone, zone, "rota", []string{"-slots", "60", "-service-time-ms", "5", "-calls", "GET /ropes"}},
			hostSpec{"ropes-" + zone, zone, "ropes", []string{"-slots", "60", "-service-time-ms", "5", "-calls", "GET /peals"}},
			hostSpec{"peals-" + zone, zone, "peals", []string{
				"-slots", fmt.Sprint(surgeSlots), "-service-time-ms", fmt.Sprint(normalServiceTime.Milliseconds()),
			}},
		)
	}
	objects := []string{
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindAvailabilityZone, "b", `{"in-service": true}`),
		objectJSON(object.KindRoute, "ropes", `{"path-prefix": "/ropes", "service": "ropes", "urgency": "normal"}`),
		objectJSON(object.KindRoute, "peals", `{"path-prefix": "/peals", "service": "peals", "urgency": "normal"}`),
	}
	for _, service := range []string{"rota", "ropes", "peals"} {
		objects = append(objects, objectJSON(object.KindService, service, `{}`))
	}
	for urgency, p := range surgePaths {
		objects = append(objects, objectJSON(object.KindRoute, urgency,
			fmt.Sprintf(`{"path-prefix": %q, "service": "rota", "urgency": %q}`, p.path, urgency)))
	}
	for name, a := range surgeAccounts {
		objects = append(objects, objectJSON(object.KindClientAccount, name, fmt.Sprintf(`{"rate": %v, "burst": %v}`, a.limit, a.limit)))
	}
	return newFleetWithDisabled(t, disabled, specs, objects...)
}

// surgePlan returns the calls of all accounts at a fraction of their demand in the
// surge.
func surgePlan(keys map[string]string, fraction float64, length time.Duration) []standin.Stream {
	var plan []standin.Stream
	for _, name := range []string{"bern", "chur", "greedy", "thun"} {
		for _, urgency := range []string{"urgent", "normal", "deferrable"} {
			p := surgePaths[urgency]
			plan = append(plan, standin.Stream{
				Account: name, Key: keys[name], Method: "GET", Path: p.path, Urgency: urgency,
				Rate: surgeAccounts[name].demand * p.fraction * fraction, DurationS: length.Seconds(),
				DeadlineMs: surgeDeadlineMs, Retries: 3,
			})
		}
	}
	return plan
}

// surgeResult holds the measurements of a surge.
type surgeResult struct {
	// urgent is the fraction of the urgent calls of the accounts within their rate
	// that were served in time.
	urgent float64
	// lowerUrgency is the number of served calls of normal and deferrable urgency.
	lowerUrgency int
	// goodput is the number of calls served in time, as a fraction of the deepest
	// service's capacity.
	goodput float64
	// worstShare is the result of worstAccountShare for the capacity of the deepest
	// service.
	worstShare float64
	// worstShareOfServed is like worstShare, but the fair shares are those of the
	// throughput of served calls in place of the capacity.
	worstShareOfServed float64
	// recovery is the time from the end of the surge to the start of the last
	// attempt that failed.
	recovery time.Duration
	// attempts is the number of attempts at the deepest service for each first
	// attempt.
	attempts float64
	// wasted is the fraction of the runs that were made for callers' attempts that
	// were not served.
	wasted float64
}

// measureSurge slows the deepest service down and raises the demand, then ends both.
// The demand within the accounts' rates is about 3 times the capacity of the slow
// service.
func measureSurge(t *testing.T, disabled []string) surgeResult {
	f := surgeFleet(t, disabled)
	keys := make(map[string]string)
	for name := range surgeAccounts {
		keys[name] = f.createKey(name, name+"-1")
	}
	entries := []*host{f.hosts["rota-a"], f.hosts["rota-b"]}
	const baseLoad = 0.1
	f.load(surgeSeed, surgePlan(keys, baseLoad, 3*time.Second), entries...) // warm-up
	f.setDeepestServiceTime(slowedServiceTime)
	began := time.Now()
	var report standin.Report
	var surge []history.Call
	done := make(chan struct{})
	go func() {
		defer close(done)
		report, surge = f.load(surgeSeed+1, surgePlan(keys, 1, surgeDuration), entries...)
	}()
	time.Sleep(time.Until(began.Add(surgeDuration)))
	f.setDeepestServiceTime(normalServiceTime)
	ended := time.Now()
	_, after := f.load(surgeSeed+2, surgePlan(keys, baseLoad, recoveryDuration), entries...)
	<-done
	logReport(t, report)
	return f.surgeResult(report, surge, after, began, ended)
}

func (f *fleet) setDeepestServiceTime(serviceTime time.Duration) {
	for _, zone := range []string{"a", "b"} {
		f.control(f.hosts["peals-"+zone].serverAddress(), fmt.Sprintf(`{"service-time-ms": %d}`, serviceTime.Milliseconds()))
	}
}

func (f *fleet) surgeResult(report standin.Report, surge, after []history.Call, began, ended time.Time) surgeResult {
	var result surgeResult
	var sent, inTime, late int
	servedByAccount := make(map[string]float64)
	for _, g := range report.Groups {
		late += g.Late
		switch {
		case g.Urgency != "urgent":
			result.lowerUrgency += g.Served
		case g.Account != "greedy": // greedy exceeds its rate, so that some of its calls must be refused
			sent += g.Sent
			inTime += g.Served - g.Late
		}
	}
	result.urgent = float64(inTime) / float64(sent)
	servedRequests := make(map[string]bool)
	total := 0.0
	for _, call := range append(surge, after...) {
		if call.Status == 200 {
			servedRequests[call.RequestID] = true
		}
		if call.Status == 200 && !call.End.After(ended) {
			servedByAccount[call.Account]++
			total++
		}
		if call.Status != 200 && call.Start.After(ended) {
			result.recovery = max(result.recovery, call.Start.Sub(ended))
		}
	}
	capacity := surgeCapacity * ended.Sub(began).Seconds()
	result.goodput = (total - float64(late)) / capacity
	result.worstShare = worstAccountShare(servedByAccount, capacity/ended.Sub(began).Seconds(), ended.Sub(began))
	result.worstShareOfServed = worstAccountShare(servedByAccount, total/ended.Sub(began).Seconds(), ended.Sub(began))
	result.attempts = f.attemptsOfDeepest()
	result.wasted = f.wasted(servedRequests, began, ended)
	return result
}

// attemptsOfDeepest returns the number of attempts to call the deepest service for
// each first attempt. Attempts that were refused before they were sent count too.
// Only the hosts of service ropes call the deepest service.
func (f *fleet) attemptsOfDeepest() float64 {
	var attempts, retries float64
	for _, zone := range []string{"a", "b"} {
		h := f.hosts["ropes-"+zone]
		for _, name := range []string{"chosen-own-zone", "chosen-other-zone", "refused-early", "refused-no-host"} {
			attempts += f.metric(h, "curranthold-balance", name+"-requests")
		}
		retries += f.metric(h, "curranthold-entry", "retries")
	}
	return attempts / (attempts - retries)
}

// wasted returns the fraction of the runs during the surge that were made for callers'
// attempts that were not served, including the runs of their nested calls.
func (f *fleet) wasted(servedRequests map[string]bool, began, ended time.Time) float64 {
	runs, wastedRuns := 0.0, 0.0
	for _, run := range f.runs() {
		if run.At.Before(began) || run.At.After(ended) {
			continue
		}
		root, _, _ := strings.Cut(run.RequestID, ".")
		runs++
		if !servedRequests[root] {
			wastedRuns++
		}
	}
	return wastedRuns / runs
}

// worstAccountShare returns the lowest ratio, over the accounts within their rate, of
// the calls served to the account's fair share of the capacity, or 1 if all ratios are
// higher. The capacity is in calls per second, and goes to the more urgent calls
// first. Within each urgency, fair shares are max-min shares weighted by the accounts'
// rates.
func worstAccountShare(served map[string]float64, capacity float64, duration time.Duration) float64 {
	fair := make(map[string]float64)
	for _, urgency := range []string{"urgent", "normal", "deferrable"} {
		wanted := make(map[string]float64)
		for name, a := range surgeAccounts {
			wanted[name] = min(a.demand, a.limit) * surgePaths[urgency].fraction
		}
		for name, share := range maxMinShares(wanted, capacity) {
			fair[name] += share
			capacity -= share
		}
	}
	worst := 1.0
	for name, share := range fair {
		if name != "greedy" {
			worst = min(worst, served[name]/(share*duration.Seconds()))
		}
	}
	return worst
}

// maxMinShares divides a capacity among the accounts by weighted max-min fairness.
// The weights are the accounts' rates, and no account gets more than it wants.
func maxMinShares(wanted map[string]float64, capacity float64) map[string]float64 {
	shares := make(map[string]float64)
	for len(shares) < len(wanted) {
		weights := 0.0
		for name := range wanted {
			if _, done := shares[name]; !done {
				weights += surgeAccounts[name].limit
			}
		}
		level := max(capacity, 0) / weights
		satisfied := 0.0
		before := len(shares)
		for name, want := range wanted {
			if _, done := shares[name]; !done && want <= level*surgeAccounts[name].limit {
				shares[name] = want
				satisfied += want
			}
		}
		capacity -= satisfied
		if len(shares) > before {
			continue
		}
		for name := range wanted {
			if _, done := shares[name]; !done {
				shares[name] = level * surgeAccounts[name].limit
			}
		}
	}
	return shares
}

// TestSurge measures a surge of calls while the deepest service is slow, with the
// mechanisms against overload and without them.
func TestSurge(t *testing.T) {
	t.Run("without mechanisms", func(t *testing.T) {
		logSurge(t, measureSurge(t, overloadMechanisms))
	})
	t.Run("with mechanisms", func(t *testing.T) {
		result := measureSurge(t, nil)
		logSurge(t, result)
		qt.Check(t, result.lowerUrgency > 0, qt.IsTrue)
		qt.Check(t, result.urgent >= 0.999, qt.IsTrue)
		qt.Check(t, result.recovery <= 5*time.Second, qt.IsTrue)
		qt.Check(t, result.attempts <= 1.1, qt.IsTrue)
	})
}

func logSurge(t *testing.T, f surgeResult) {
	t.Logf("seed %d: urgent in time %.4f, goodput %.3f, worst account %.3f of its fair share (%.3f of that of the served calls), "+
		"recovery %v, attempts at the deepest service %.3f, wasted runs %.3f",
		surgeSeed, f.urgent, f.goodput, f.worstShare, f.worstShareOfServed, f.recovery, f.attempts, f.wasted)
}
