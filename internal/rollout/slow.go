package rollout

const (
	// slowRateFactor and slowRateMargin allow the new version more slow responses than
	// the upper bound of the old one's rate, in the test that weighs responses by their
	// correlation. The second pair is that of the test that doesn't. With 1.5 and 0.01
	// there, 11 of 30,000 good versions were rolled back.
	slowRateFactor      = 1.25
	slowRateMargin      = 0.01
	plainSlowRateFactor = 2
	plainSlowRateMargin = 0.02
	// maxSlowRate is the largest rate of slow responses of the old version at which
	// the number of slow responses still tells the versions apart.
	maxSlowRate = 0.5
	// minBaselineTimes is the number of service times of the old version on a route
	// below which its quantiles are not used.
	minBaselineTimes = 30
	// minSlowSlices is the number of slices over which service times are compared at
	// least. With one slice, a host that was slow for 600 ms was taken for a regression
	// in 2 of 3,000 rollouts of good versions.
	minSlowSlices = 3
	// slowTestKinds is the number of tests of a route: two limits, with and without
	// correlation.
	slowTestKinds = 4
)

// slowLimit defines slow responses: those that take longer than factor times the
// quantile of the old version's on the same route.
type slowLimit struct{ quantile, factor float64 }

// The limit at the median finds versions that are slower as a whole, that at the 90th
// percentile those of which some responses are.
var slowLimits = []slowLimit{{0.5, 3}, {0.9, 2}}

// slowTest compares the number of slow responses on a route, or on all if it is "".
type slowTest struct {
	route string
	// bounds are the buckets by route above which responses are slow.
	bounds map[string]int
	// rate is that of slow responses which the new version may have.
	rate float64
	// correlation is that of the responses of one host of the old version within a
	// part of the window: hosts differ in speed, and are slow for a while at times.
	correlation float64
}

// newSlowTests returns the tests for which the old version has enough responses. The test
// by correlation finds more where hosts don't differ, the plain one where few hosts differ
// much.
func (t *tester) newSlowTests() []slowTest {
	var tests []slowTest
	for _, limit := range slowLimits {
		bounds := limit.bounds(t.oldSum)
		for _, route := range append([]string{""}, t.routes...) {
			baseline := slowSample(t.oldSum, route, bounds)
			if baseline.responses == 0 {
				continue
			}
			rate := upperRate(baseline)
			if plain := plainSlowRateFactor*rate + plainSlowRateMargin; plain <= maxSlowRate {
				tests = append(tests, slowTest{route: route, bounds: bounds, rate: plain})
			}
			// The correlation is only known if the responses are known by host.
			if weighed := slowRateFactor*rate + slowRateMargin; weighed <= maxSlowRate && len(t.Old) > 1 {
				tests = append(tests, slowTest{route, bounds, weighed, t.correlation(route, bounds, baseline)})
			}
		}
	}
	return tests
}

// correlation estimates the correlation of being slow between the responses of a host in
// a part of the window, from how far their numbers spread around the common rate.
func (t *tester) correlation(route string, bounds map[string]int, baseline sample) float64 {
	rate := baseline.bad / max(baseline.responses, 1)
	variance := rate * (1 - rate)
	if variance == 0 {
		return 0
	}
	spread, responses, pairs := 0.0, 0.0, 0.0
	for _, e := range t.Old {
		for i := range e.Slices {
			var s sample
			for name, counts := range e.Slices[i] {
				s.addSlow(name, counts, route, bounds)
			}
			deviation := s.bad - s.responses*rate
			spread += deviation * deviation / variance
			responses += s.responses
			pairs += s.responses * max(s.responses-1, 0)
		}
	}
	if pairs == 0 {
		return 0
	}
	return min(max((spread-responses)/pairs, 0), 1)
}

// findSlow tests the slow responses of each route and of all routes together. Correlated
// responses of a host count less (design effect of a cluster sample).
func (t *tester) findSlow(newParts []map[string]*Counts) (string, bool) {
	for _, test := range t.slowTests {
		samples := make([]sample, len(newParts))
		responses, squares := 0.0, 0.0
		for i, part := range newParts {
			samples[i] = slowSample(part, test.route, test.bounds)
			responses += samples[i].responses
			squares += samples[i].responses * samples[i].responses
		}
		if responses == 0 {
			continue
		}
		effect := 1 + max(squares/responses-1, 0)*test.correlation
		for i := range samples {
			samples[i].responses /= effect
			samples[i].bad /= effect
		}
		p0 := test.rate
		p1 := []float64{p0 + 0.15*(1-p0), p0 + 0.4*(1-p0), p0 + 0.85*(1-p0)}
		if t.regressed(samples, p0, p1, t.tests*slowTestKinds) {
			return test.route, true
		}
	}
	return "", false
}

// bounds returns the bucket above which responses of a route are slow. Routes for
// which the old version has too few responses are missing.
func (l slowLimit) bounds(old map[string]*Counts) map[string]int {
	bounds := make(map[string]int)
	for route, counts := range old {
		if bucket, ok := counts.quantile(l.quantile); ok && counts.timed() >= minBaselineTimes {
			limit := float64(bucketEnd(bucket)) * l.factor
			for float64(bucketEnd(bucket)) < limit {
				bucket++
			}
			bounds[route] = bucket
		}
	}
	return bounds
}

func slowSample(sum map[string]*Counts, route string, bounds map[string]int) sample {
	var s sample
	for name, counts := range sum {
		s.addSlow(name, *counts, route, bounds)
	}
	return s
}

// addSlow adds the responses of the route called name, if it is the given one or all are
// asked for.
func (s *sample) addSlow(name string, counts Counts, route string, bounds map[string]int) {
	if bound, ok := bounds[name]; ok && (route == "" || name == route) {
		s.responses += float64(counts.timed())
		s.bad += float64(counts.slowerThan(bound))
	}
}
