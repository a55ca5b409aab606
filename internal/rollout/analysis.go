package rollout

import (
	"math"
)

const (
	// errorRate bounds the probability that the tests of one kind, over all routes and
	// parts of the window, take a good version for a bad one while the rollout runs
	// (Wald's inequality). finalErrorRate is that of failures in the test before a
	// promotion. Slow responses of a host come together, so their threshold stays.
	// The inequality overstates the rate several times for tests that aren't repeated
	// and versions below failureFloor; TestFalsePositives measures the sum.
	errorRate      = 1e-4
	finalErrorRate = 1e-3
	// remainingErrorRate is the same for one test of the responses without those of the
	// worst host, on the route and part of the window that failed the first test. A
	// single faulty host would fail that one alone.
	remainingErrorRate = 1e-3
	// failureFloor is the failure rate that every version may have. It lies above the
	// fault rate of 0.4 % that all backend servers may show.
	failureFloor = 0.005
	// rateDeviations widens an observed rate of the old version by this many
	// standard deviations before the new one is compared with it.
	rateDeviations = 2
	// soleHostFailures is the number of bad responses of the only host with responses
	// that suffices although other candidates exist.
	soleHostFailures = 50
	// minResponses of the new version suffice for a promotion, at low load
	// minResponsePart of those that its fraction of the traffic should have given.
	minResponses    = 20
	minResponsePart = 0.5
)

// Comparison is the input of the canary analysis.
type Comparison struct {
	// Old and New have the evidence of each backend server of both versions.
	Old, New []Evidence
	// Candidates is the number of live backend servers of the new version.
	Candidates int
	// Fraction is the part of the traffic that the new version gets.
	Fraction float64
	// Final is set for the test before a promotion, which needs less evidence against
	// the new version than those during the rollout, as there is only one.
	Final bool
}

// Finding is the result of the canary analysis.
type Finding struct {
	// Bad reports whether the new version is bad, and Reason and Route why. Route is
	// empty if all routes together show it.
	Bad    bool
	Reason Reason
	Route  string
	// Enough reports whether there is enough evidence for a promotion.
	Enough bool
}

// sample is a number of responses of one backend server, some of them bad.
type sample struct{ responses, bad float64 }

// Analyse compares the responses of two versions. It tests those since the beginning of
// each part of the window; the largest ratio over these is a cumulative sum (CUSUM).
func Analyse(c Comparison) Finding {
	old := merge(c.Old)
	c.New = aligned(c.New, &old)
	t := tester{Comparison: c, routes: c.routes(), oldSum: old.sum(0)}
	t.slowTests = t.newSlowTests()
	slices := 0
	for _, e := range c.New {
		slices = max(slices, len(e.Slices))
		if e.total().Responses > 0 {
			t.hosts++
		}
	}
	t.tests = float64((old.First + slices) * (len(t.routes) + 1))
	finding := Finding{Enough: c.enough(old)}
	oldPart := make(map[string]*Counts)
	newParts := make([]map[string]*Counts, len(c.New))
	for i := range newParts {
		newParts[i] = make(map[string]*Counts)
	}
	for start := slices - 1; start >= 0; start-- {
		old.addSlice(oldPart, start)
		for i, e := range c.New {
			e.addSlice(newParts[i], start)
		}
		if route, bad := t.findFailing(oldPart, newParts); bad {
			return Finding{Bad: true, Reason: ReasonFailures, Route: route, Enough: finding.Enough}
		}
		if slices-start < minSlowSlices {
			continue
		}
		if route, bad := t.findSlow(newParts); bad {
			return Finding{Bad: true, Reason: ReasonSlow, Route: route, Enough: finding.Enough}
		}
	}
	return finding
}

// aligned returns the evidence of the new version with parts that begin with the same
// number as those of the old version, which it may advance.
func aligned(all []Evidence, old *Evidence) []Evidence {
	for _, e := range all {
		old.advance(e.First)
	}
	result := make([]Evidence, len(all))
	for i, e := range all {
		result[i] = merge([]Evidence{e, {First: old.First}})
	}
	return result
}

// tester holds what all tests of one analysis have in common.
type tester struct {
	Comparison
	routes []string
	// tests is the number of tests of each kind.
	tests float64
	// hosts is the number of backend servers of the new version with responses.
	hosts  int
	oldSum map[string]*Counts
	// slowTests are the tests of service times.
	slowTests []slowTest
}

func (c Comparison) routes() []string {
	seen := make(map[string]bool)
	var routes []string
	for _, e := range c.New {
		for route := range e.sum(0) {
			if !seen[route] {
				seen[route] = true
				routes = append(routes, route)
			}
		}
	}
	return routes
}

func (c Comparison) enough(old Evidence) bool {
	responses := merge(c.New).total().Responses
	all := float64(responses + old.total().Responses)
	return responses > 0 && float64(responses) >= min(minResponses, minResponsePart*c.Fraction*all)
}

// findFailing tests the failures of each route and of all routes together, which is
// the route "".
func (t *tester) findFailing(oldPart map[string]*Counts, newParts []map[string]*Counts) (string, bool) {
	allowed := func(route string) float64 {
		return max(failureFloor, upperRate(failureSample(t.oldSum, route)), upperRate(failureSample(oldPart, route)))
	}
	tests := t.tests
	if t.Final {
		tests *= errorRate / finalErrorRate
	}
	for _, route := range append([]string{""}, t.routes...) {
		samples := make([]sample, len(newParts))
		for i, part := range newParts {
			samples[i] = failureSample(part, route)
		}
		p0 := allowed(route)
		if t.regressed(samples, p0, []float64{4 * p0, 16 * p0, 0.5, 0.9}, tests) {
			return route, true
		}
	}
	return "", false
}

// failureSample returns the responses and failures of a route, or of all if it is "".
func failureSample(sum map[string]*Counts, route string) sample {
	var s sample
	for name, counts := range sum {
		if route == "" || name == route {
			s.responses += float64(counts.Responses)
			s.bad += float64(counts.Failures)
		}
	}
	return s
}

// upperRate returns an upper bound of the rate that a sample was drawn with.
func upperRate(s sample) float64 {
	if s.responses == 0 {
		return 0
	}
	rate := s.bad / s.responses
	return rate + rateDeviations*math.Sqrt(rate*(1-rate)/s.responses)
}

// regressed reports whether the samples, one for each backend server, show a rate of
// one of p1 rather than p0, also without the backend server that contributes most.
func (t *tester) regressed(samples []sample, p0 float64, p1 []float64, tests float64) bool {
	var all sample
	worst := sample{}
	for _, s := range samples {
		all.responses += s.responses
		all.bad += s.bad
		if s.bad > worst.bad {
			worst = s
		}
	}
	if logRatio(all, p0, p1) < math.Log(tests/errorRate) {
		return false
	}
	if t.hosts > 1 {
		rest := sample{all.responses - worst.responses, all.bad - worst.bad}
		return logRatio(rest, p0, p1) >= -math.Log(remainingErrorRate)
	}
	return t.Candidates <= 1 || all.bad >= soleHostFailures
}

// logRatio returns the logarithm of the likelihood ratio of a sample: an equal mixture
// of the rates in p1 (bounded below by its largest term) against p0.
func logRatio(s sample, p0 float64, p1 []float64) float64 {
	best := 0.0
	for _, p := range p1 {
		if p = min(p, 0.95); p > p0 {
			ratio := s.bad*math.Log(p/p0) + (s.responses-s.bad)*math.Log((1-p)/(1-p0))
			best = max(best, ratio-math.Log(float64(len(p1))))
		}
	}
	return best
}
