package rollout

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// sliceCount is the number of parts of the window, of equal length, in which
	// evidence is kept, so that a version that turns bad late isn't hidden by its
	// earlier responses. Longer windows keep the last parts, of maxSliceTime each.
	sliceCount   = 12
	maxSliceTime = time.Second
	// warmUpTime is the time after the order in which service times are left out, at
	// most warmUpPart of the window. Backend servers are slow for some seconds after
	// their start.
	warmUpTime = 2 * time.Second
	warmUpPart = 6
	// maxRoutes bounds the routes with evidence of their own; responses of further
	// routes are counted together under otherRoutes.
	maxRoutes   = 32
	otherRoutes = "*"
	// A histogram has stepsPerOctave buckets for each power of two of microseconds.
	// Quantiles are compared at factors of 2 and 3, which steps of 1.25 resolve.
	stepsPerOctave = 4
	maxOctaves     = 27 // 2^27 microseconds, two minutes
)

// Counts sums up responses.
type Counts struct {
	Responses, Failures uint64
	// Busy is the sum of the service times.
	Busy time.Duration
	// Times counts the responses that were not failures by service time, without
	// trailing zeros.
	Times []uint64
}

// Slice has the counts of one part of the window by route.
type Slice map[string]Counts

// Evidence has the responses of one backend server since the order, by part of the
// window. Slices[0] has those of the part numbered First and of all before.
type Evidence struct {
	First  int
	Slices []Slice
}

// sliceLength returns the length of the parts of a window.
func sliceLength(over time.Duration) time.Duration {
	return max(min(over/sliceCount, maxSliceTime), time.Millisecond)
}

// advance drops the bounds between parts before the one numbered first.
func (e *Evidence) advance(first int) {
	for e.First < first {
		e.First++
		if len(e.Slices) < 2 {
			continue
		}
		for route, counts := range e.Slices[0] {
			sum := e.Slices[1][route]
			sum.add(counts)
			e.Slices[1][route] = sum
		}
		e.Slices = e.Slices[1:]
	}
}

// bucketOf returns the index of a service time in [Counts.Times].
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), stepsPerOctave))
	octave := bits.Len64(us) - 1
	step := int(us>>(octave-2)) - stepsPerOctave
	return min(octave, maxOctaves)*stepsPerOctave + step
}

// bucketEnd returns the upper bound of the service times of a bucket.
func bucketEnd(bucket int) time.Duration {
	octave, step := bucket/stepsPerOctave, bucket%stepsPerOctave
	return time.Duration(uint64(stepsPerOctave+step+1)<<octave>>2) * time.Microsecond
}

func (c *Counts) add(other Counts) {
	c.Responses += other.Responses
	c.Failures += other.Failures
	c.Busy += other.Busy
	if missing := len(other.Times) - len(c.Times); missing > 0 {
		c.Times = append(c.Times, make([]uint64, missing)...)
	}
	for i, n := range other.Times {
		c.Times[i] += n
	}
}

func (c *Counts) addTime(d time.Duration) {
	bucket := bucketOf(d)
	for len(c.Times) <= bucket {
		c.Times = append(c.Times, 0)
	}
	c.Times[bucket]++
}

// timed returns the number of service times.
func (c Counts) timed() uint64 {
	n := uint64(0)
	for _, count := range c.Times {
		n += count
	}
	return n
}

// quantile returns the bucket of the quantile q of the service times, and false if
// there are none.
func (c Counts) quantile(q float64) (bucket int, ok bool) {
	left := q * float64(c.timed())
	for i, n := range c.Times {
		left -= float64(n)
		if n > 0 && left <= 0 {
			return i, true
		}
	}
	return 0, false
}

// slowerThan returns how many service times lie in buckets above the given one.
func (c Counts) slowerThan(bucket int) uint64 {
	n := uint64(0)
	for i := bucket + 1; i < len(c.Times); i++ {
		n += c.Times[i]
	}
	return n
}

// addSlice adds the counts of one slice to sums by route.
func (e Evidence) addSlice(sums map[string]*Counts, slice int) {
	if slice >= len(e.Slices) {
		return
	}
	for route, counts := range e.Slices[slice] {
		if sums[route] == nil {
			sums[route] = &Counts{}
		}
		sums[route].add(counts)
	}
}

// sum returns the counts by route from the given slice on.
func (e Evidence) sum(from int) map[string]*Counts {
	sums := make(map[string]*Counts)
	for i := from; i < len(e.Slices); i++ {
		e.addSlice(sums, i)
	}
	return sums
}

// total returns the counts of all routes.
func (e Evidence) total() Counts {
	var total Counts
	for _, slice := range e.Slices {
		for _, counts := range slice {
			total.add(counts)
		}
	}
	return total
}

// merge adds the evidence of several backend servers.
func merge(all []Evidence) Evidence {
	merged := Evidence{}
	for _, e := range all {
		merged.First = max(merged.First, e.First)
	}
	for _, e := range all {
		for i, slice := range e.Slices {
			i = max(i+e.First-merged.First, 0)
			for i >= len(merged.Slices) {
				merged.Slices = append(merged.Slices, make(Slice))
			}
			for route, counts := range slice {
				sum := merged.Slices[i][route]
				sum.add(counts)
				merged.Slices[i][route] = sum
			}
		}
	}
	return merged
}

// recorder keeps the evidence of the own backend server during one rollout.
type recorder struct {
	mu       sync.Mutex
	since    time.Time
	over     time.Duration
	cold     bool
	routes   map[string]bool
	evidence Evidence
}

func newRecorder(over time.Duration) *recorder {
	return &recorder{over: over, routes: make(map[string]bool)}
}

// record adds one response. Service times of a cold backend server are left out, since
// they say nothing about its version.
func (r *recorder) record(now time.Time, route string, failed bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.routes[route] && len(r.routes) >= maxRoutes {
		route = otherRoutes
	}
	r.routes[route] = true
	elapsed := max(now.Sub(r.since), 0)
	part := int(elapsed / sliceLength(r.over))
	r.evidence.advance(part - sliceCount + 1)
	index := max(part-r.evidence.First, 0)
	for len(r.evidence.Slices) <= index {
		r.evidence.Slices = append(r.evidence.Slices, make(Slice))
	}
	counts := r.evidence.Slices[index][route]
	counts.Responses++
	counts.Busy += max(took, 0)
	switch {
	case failed:
		counts.Failures++
	case !r.cold && elapsed >= min(warmUpTime, r.over/warmUpPart):
		counts.addTime(took)
	}
	r.evidence.Slices[index][route] = counts
}

// snapshot returns a copy of the evidence.
func (r *recorder) snapshot() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return merge([]Evidence{r.evidence})
}

// setStart sets when the order began, and whether the backend server is cold.
func (r *recorder) setStart(since time.Time, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since, r.cold = since, cold
}
