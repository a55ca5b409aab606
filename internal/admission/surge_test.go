package admission_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

const (
	surgeFrom     = 10 * time.Second // after the initial ramp of the limit
	surgeTo       = 15 * time.Second
	surgeEnd      = 22 * time.Second
	slots         = 20
	work          = 20 * time.Millisecond
	capacity      = float64(slots) / 0.020 // requests a second
	allMechanisms = ^admission.Mechanism(0)
)

var surgeSeed = flag.Uint64("surge-seed", 7, "seed of the random loads")

// results holds the measurements of a surge.
type results struct {
	urgent   float64       // share of the urgent requests answered in time
	goodput  float64       // answered requests, as a share of those that the capacity allows
	worst    float64       // answered requests of the worst-served account other than greedy, as a share of its fair share
	recovery time.Duration // from the end of the surge to the arrival of the last unanswered request
	wasted   float64       // slot time taken by failed requests, as a share of all slot time
}

func (f results) String() string {
	return fmt.Sprintf("seed %d: urgent %.4f, goodput %.3f, worst account %.3f, recovery %v, wasted work %.4f",
		*surgeSeed, f.urgent, f.goodput, f.worst, f.recovery, f.wasted)
}

// ordinary and surge are the request rates of the accounts: half of the
// capacity of the backend server, and 3 times the capacity, most of it from one
// account.
var (
	ordinary = map[string]float64{"a": 50, "b": 120, "c": 230, "greedy": 100}
	surge    = map[string]float64{"a": 100, "b": 300, "c": 600, "greedy": 2000}
)

func measure(t *testing.T, surgeLoad load, disabled admission.Mechanism) results {
	var f results
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(*surgeSeed, *surgeSeed))
		b := newBackend(slots)
		c := admission.New(admission.Config{Disabled: disabled})
		defer c.Close()
		c.Announce(admission.Announcement{Slots: slots, Incarnation: "one"})
		calls := load{accounts: ordinary, to: surgeFrom, work: work}.calls(random)
		calls = append(calls, surgeLoad.calls(random)...)
		calls = append(calls, load{accounts: ordinary, from: surgeTo, to: surgeEnd, work: work}.calls(random)...)
		run(c, b, calls)
		f = evaluate(calls, capacity)
		f.wasted = b.wasted.Seconds() / (slots * surgeEnd.Seconds())
	})
	return f
}

// evaluate computes the results, given the number of requests a second that can
// be served.
func evaluate(calls []*call, capacity float64) results {
	var f results
	var sent, answered [object.UrgencyCount]map[string]float64
	for u := range sent {
		sent[u], answered[u] = map[string]float64{}, map[string]float64{}
	}
	for _, c := range calls {
		if c.at >= surgeTo && c.answered == 0 {
			f.recovery = max(f.recovery, c.at-surgeTo)
		}
		if c.at < surgeFrom || c.at >= surgeTo {
			continue
		}
		sent[c.request.Urgency][c.request.Account]++
		if c.answered > 0 {
			answered[c.request.Urgency][c.request.Account]++
		}
	}
	left := capacity * (surgeTo - surgeFrom).Seconds()
	best, total := left, 0.0
	fair, got := map[string]float64{}, map[string]float64{}
	for u := range sent {
		left = addFairShares(left, sent[u], fair)
		for account, n := range answered[u] {
			got[account] += n
			total += n
		}
	}
	f.urgent = sum(answered[object.Urgent]) / sum(sent[object.Urgent])
	f.goodput = total / best
	f.worst = 1
	for account := range fair {
		if account != "greedy" {
			f.worst = min(f.worst, got[account]/fair[account])
		}
	}
	return f
}

// addFairShares divides the capacity among the accounts by weighted max-min
// fairness, adds to fair what each account gets of the requests that it sent,
// and returns the capacity that is left.
func addFairShares(capacity float64, sent, fair map[string]float64) float64 {
	wanting := map[string]float64{}
	for account, n := range sent {
		wanting[account] = n
	}
	for len(wanting) > 0 && capacity > 1e-6 {
		total, round := 0.0, capacity
		for account := range wanting {
			total += weights[account]
		}
		for account, want := range wanting {
			given := min(want, round*weights[account]/total)
			fair[account] += given
			capacity -= given
			wanting[account] -= given
			if wanting[account] < 1e-6 {
				delete(wanting, account)
			}
		}
	}
	return capacity
}

func sum(m map[string]float64) float64 {
	total := 0.0
	for _, n := range m {
		total += n
	}
	return total
}

// TestSurge measures a surge with all mechanisms, without any of them, and with
// some disabled.
func TestSurge(t *testing.T) {
	tests := map[string]admission.Mechanism{
		"all mechanisms":           0,
		"no mechanism":             allMechanisms,
		"first come, first served": admission.UrgencyOrder | admission.DepthOrder | admission.FairOrder | admission.UrgentReserve | admission.DeadlineDrop,
		"no urgency order":         admission.UrgencyOrder,
		"no fair order":            admission.FairOrder,
		"no urgent reserve":        admission.UrgentReserve,
		"no deadline drop":         admission.DeadlineDrop,
	}
	for name, disabled := range tests {
		t.Run(name, func(t *testing.T) {
			surgeLoad := load{accounts: surge, from: surgeFrom, to: surgeTo, work: work}
			f := measure(t, surgeLoad, disabled)
			t.Logf("%s: %v", name, f)
			if disabled != 0 {
				return
			}
			qt.Check(t, f.urgent >= 0.999, qt.IsTrue)
			qt.Check(t, f.goodput >= 0.9, qt.IsTrue)
			qt.Check(t, f.worst >= 0.95, qt.IsTrue)
			qt.Check(t, f.recovery <= 5*time.Second, qt.IsTrue)
		})
	}
}

// TestSlowNestedCalls measures requests that keep their slots while they wait
// for a slow nested call, with a short and with a long deadline.
func TestSlowNestedCalls(t *testing.T) {
	tests := map[string]admission.Mechanism{
		"all mechanisms":    0,
		"no mechanism":      allMechanisms,
		"no urgent reserve": admission.UrgentReserve,
		"no deadline drop":  admission.DeadlineDrop,
	}
	for _, timeout := range []time.Duration{deadline, 5 * time.Second} {
		for name, disabled := range tests {
			t.Run(name+" "+timeout.String(), func(t *testing.T) {
				surgeLoad := load{accounts: ordinary, from: surgeFrom, to: surgeTo, work: work, nested: 4 * time.Second, nestedShare: 0.7, timeout: timeout}
				f := measure(t, surgeLoad, disabled)
				t.Logf("%v %s: %v", timeout, name, f)
				if disabled == 0 {
					qt.Check(t, f.urgent >= 0.999, qt.IsTrue)
					qt.Check(t, f.recovery <= 5*time.Second, qt.IsTrue)
				}
			})
		}
	}
}
