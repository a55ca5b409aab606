package admission

import (
	"math/bits"
	"time"
)

const (
	// rampStartDivisor divides the slots to get the limit that a ramp starts
	// with, which is also the minimum limit.
	rampStartDivisor = 20
	// slowStartDivisor replaces rampStartDivisor for a backend server that a cold
	// start only slows down. Servers may also refuse requests for other reasons than
	// their number, and a lower limit would not help against that.
	slowStartDivisor = 2
	// slowGrowthDivisor divides the slots to get the maximum increase of the
	// limit while the backend server announces that it is cold, or while too
	// few requests run to show that it can handle the present limit.
	slowGrowthDivisor = 16
	// reachedShare is the share of the limit that has to run at once to show
	// that the backend server can handle the limit.
	reachedShare = 0.75
	// maxGrowthShare is the maximum increase of the limit, as a share of the
	// limit.
	maxGrowthShare = 0.5
	// growthInterval is the minimum time between two increases of the limit.
	growthInterval = 500 * time.Millisecond
	// refusedGrowthInterval replaces growthInterval for a backend server that
	// refuses requests it cannot handle, because it is not harmed by a
	// premature increase.
	refusedGrowthInterval = 100 * time.Millisecond
	// maxColdHold is the maximum time that the limit stays at its minimum while
	// the backend server announces that it is cold. The announcement may be
	// late or wrong, so it must not hold the limit down indefinitely.
	maxColdHold = 10 * time.Second
	// The limit is not raised if requests took more than baselineFactor times
	// the baseline (their typical time before the ramp) on average, unless the
	// backend server refuses requests that it cannot handle.
	baselineFactor = 1.25
	// baselineGrowthDivisor divides the baseline to get the amount by which the
	// baseline is raised after each interval in which requests exceeded it, so
	// that an outdated baseline cannot prevent increases of the limit
	// indefinitely.
	baselineGrowthDivisor = 8
	// One refusal lowers the limit to no less than refusalCut times its value.
	refusalCut = 0.9
	// refusalsTolerated is the number of refusals for each successful request
	// that do not lower the limit.
	refusalsTolerated = 0.01
	// maxRefusalAllowance is the maximum number of consecutive refusals that do
	// not lower the limit.
	maxRefusalAllowance = 2
	// slowFactor is the multiple of its typical time above which a request
	// counts as slow.
	slowFactor = 3
	// slowMargin is the minimum time by which a slow request exceeds its
	// typical time, and by which the mean time of a request grows if it lowers
	// the limit.
	slowMargin = 5 * time.Millisecond
	// During a ramp, the limit is lowered if the mean time of a request grows
	// by more than the factor intervalSlowFactor from one interval to the next,
	// which is more than the higher concurrency can explain.
	intervalSlowFactor = 2.5
	// typicalSmoothing and slowSmoothing are the reciprocals of the weights
	// that a normal and a slow request have in the moving average that is the
	// typical time.
	typicalSmoothing = 16
	slowSmoothing    = 256
	// minAnomalies and maxAnomalies bound the number of consecutive slow or
	// broken requests that are taken for an unannounced cold start.
	minAnomalies = 5
	maxAnomalies = 20
	// minBatches is the minimum number of batches of slow or broken requests
	// that are taken for an unannounced cold start. The requests of a batch ran
	// at the same time, so a single stall of the host can explain all of them.
	minBatches = 3
	// concurrencyLevels is the number of concurrency levels, in powers of two,
	// for which a typical time is kept.
	concurrencyLevels = 16
)

// sample describes a finished request to the limiter.
type sample struct {
	outcome Outcome
	// startTime is when the request started to run.
	startTime time.Time
	// took is the time that the request ran, less the time it waited for nested
	// calls.
	took time.Duration
	// startConcurrency is the number of requests running when it started,
	// including itself.
	startConcurrency int
	// remaining is the number of requests still running after it ended.
	remaining int
	// expired reports whether the request ran until its deadline.
	expired bool
	// nested reports whether it was waiting for a nested call when it ended.
	nested bool
}

// level returns the concurrency level at which the request started.
func (s *sample) level() int {
	return min(bits.Len(uint(max(s.startConcurrency, 0))), concurrencyLevels-1)
}

// interval holds what was observed since the last regular adjustment of the
// limit.
type interval struct {
	start     time.Time
	succeeded int
	broken    int
	// peak is the maximum number of requests that ran at once.
	peak int
	// took is the total time that the successful requests ran, less the time
	// they waited for nested calls.
	took time.Duration
	// comparedTime is the total time of the successful requests at concurrency
	// levels with a baseline, and baselineTime the sum of their baselines.
	baselineTime, comparedTime time.Duration
}

// limiter is the adaptive limit on concurrent requests. The limit is at most
// the number of announced slots, falls when the backend server refuses requests
// or seems to have turned cold, and rises again as requests succeed.
type limiter struct {
	config *Config
	slots  int
	limit  float64
	// cold reports whether the backend server announces that it is cold.
	cold bool
	// coldRateAnnounced reports whether the backend server announces how long
	// it stays cold and which rate of requests it can handle until then.
	// Neither has to be detected by the limiter in that case.
	coldRateAnnounced bool
	// slowStart reports whether a cold start only slows the backend server down.
	slowStart bool
	// ramping reports whether the limit is being raised towards slots.
	ramping bool
	// unconfirmed reports whether the current ramp began with an announcement
	// that did not say that the backend server is cold. An announcement that
	// says that it is warm ends such a ramp.
	unconfirmed bool
	// rampStart is when the current ramp began.
	rampStart time.Time
	// increment is the amount of the next increase of the limit.
	increment float64
	// refusalAllowance is the number of refusals that do not lower the limit.
	// Successful requests raise it.
	refusalAllowance float64
	interval         interval
	// lastMean is the mean time of a request in the last interval that was
	// evaluated.
	lastMean time.Duration
	// typical is the typical time of a request, a moving average over the
	// successful ones, by concurrency level; 0 if it is not known.
	typical [concurrencyLevels]time.Duration
	// baseline is what typical was before the current ramp.
	baseline [concurrencyLevels]time.Duration
	// sawRefusal reports whether the backend server has refused a request since
	// the ramp began.
	sawRefusal bool
	anomalies  anomalies
}

// anomalies counts consecutive slow or broken requests.
type anomalies struct {
	count   int
	batches int
	// batchEnd is when the first request of the current batch ended. A request
	// that started later belongs to the next batch.
	batchEnd time.Time
}

func (s *anomalies) add(begin, end time.Time) {
	s.count++
	if s.batches == 0 || !begin.Before(s.batchEnd) {
		s.batches++
		s.batchEnd = end
	}
}

// allowed returns the number of requests that may run.
func (l *limiter) allowed() int {
	return int(l.limit)
}

// minLimit returns the minimum limit, at which a ramp starts.
func (l *limiter) minLimit() float64 {
	divisor := rampStartDivisor
	if l.slowStart {
		divisor = slowStartDivisor
	}
	return float64(min(max(l.slots/divisor, 1), l.slots))
}

// announce sets the announced slots and whether the backend server announces
// that it is cold. If restart is set or the backend server turned cold, it
// calls startRamp, and reports true unless a cold rate is announced. If warm is
// set, a restart, the first slots and an unconfirmed ramp set the limit to the
// slots instead.
func (l *limiter) announce(slots int, cold, warm, restart bool, now time.Time) bool {
	turnedCold := cold && !l.cold
	l.cold = cold
	first := l.slots == 0 && !l.ramping
	grew := slots > l.slots
	l.slots = slots
	if warm && (restart || first || l.unconfirmed) {
		if restart {
			l.reset(now)
		}
		l.limit = float64(slots)
		l.ramping, l.unconfirmed = false, false
		return false
	}
	if restart || turnedCold {
		l.startRamp(now)
		l.unconfirmed = l.ramping && !cold
		return !l.coldRateAnnounced
	}
	l.limit = max(min(l.limit, float64(slots)), l.minLimit())
	if grew {
		l.ramping = true
	}
	return false
}

// startRamp resets the estimates and lowers the limit to its minimum. If a cold
// rate is announced or ColdRamp is disabled, the limit becomes the number of
// slots instead.
func (l *limiter) startRamp(now time.Time) {
	l.reset(now)
	if l.coldRateAnnounced || !l.config.enabled(ColdRamp) {
		l.limit = float64(l.slots)
		return
	}
	l.limit = l.minLimit()
	l.ramping = true
}

// reset discards the estimates. The typical times become the baseline unless
// they were taken during a ramp.
func (l *limiter) reset(now time.Time) {
	l.unconfirmed = false
	l.interval = interval{start: now}
	l.rampStart = now
	l.increment = 1
	l.lastMean = 0
	l.anomalies = anomalies{}
	l.refusalAllowance = 0
	l.sawRefusal = false
	for level, typical := range l.typical {
		if typical > 0 && !l.ramping {
			l.baseline[level] = typical
		}
	}
	l.typical = [concurrencyLevels]time.Duration{}
}

// observe processes a finished request. It reports whether recent requests
// indicate a cold start that was not announced, in which case it has called
// startRamp.
func (l *limiter) observe(s sample, now time.Time) bool {
	l.interval.peak = max(l.interval.peak, s.remaining+1)
	switch s.outcome {
	case Succeeded:
		l.interval.succeeded++
		l.interval.took += s.took
		if baseline := l.baseline[s.level()]; baseline > 0 {
			l.interval.baselineTime += baseline
			l.interval.comparedTime += s.took
		}
		l.refusalAllowance = min(l.refusalAllowance+refusalsTolerated, maxRefusalAllowance)
		if l.updateTypical(s) {
			return l.addAnomaly(s, now)
		}
		l.anomalies = anomalies{}
		l.endInterval(now)
	case Refused:
		l.cutLimit(s)
	case Broken:
		if s.nested || (s.expired && !l.slow(s)) {
			return false
		}
		l.interval.broken++
		return l.addAnomaly(s, now)
	}
	return false
}

// addAnomaly counts a slow or broken request. If there were too many in a row,
// it calls startRamp and reports true, unless a cold rate is announced or
// SilentColdDetection is disabled.
func (l *limiter) addAnomaly(s sample, now time.Time) bool {
	l.anomalies.add(s.startTime, now)
	if l.anomalies.count < l.anomalyLimit() || l.anomalies.batches < minBatches {
		return false
	}
	if l.coldRateAnnounced || !l.config.enabled(SilentColdDetection) {
		return false
	}
	l.startRamp(now)
	return true
}

// anomalyLimit returns the number of consecutive slow or broken requests that
// are taken for an unannounced cold start.
func (l *limiter) anomalyLimit() int {
	return min(max(l.allowed()/2, minAnomalies), maxAnomalies)
}

// cutLimit lowers the limit towards the number of requests that the backend
// server was running when it refused one.
func (l *limiter) cutLimit(s sample) {
	l.sawRefusal = true
	if l.refusalAllowance >= 1 {
		l.refusalAllowance--
		return
	}
	if l.coldRateAnnounced || !l.config.enabled(RefusalCut) {
		return
	}
	if float64(s.remaining) >= l.limit {
		return
	}
	l.limit = max(float64(s.remaining), l.limit*refusalCut, l.minLimit())
	l.increment = 1
	l.ramping, l.unconfirmed = true, false
}

// updateTypical adds a successful request to the typical time at its
// concurrency level, and reports whether it was slow in comparison.
func (l *limiter) updateTypical(s sample) bool {
	typical := &l.typical[s.level()]
	if *typical == 0 {
		*typical = max(s.took, 1)
		return false
	}
	slow := l.slow(s)
	weight := time.Duration(typicalSmoothing)
	if slow {
		weight = slowSmoothing
	}
	*typical = max(*typical+(s.took-*typical)/weight, 1)
	return slow
}

// slow reports whether the request took much longer than is typical at its
// concurrency level.
func (l *limiter) slow(s sample) bool {
	typical := l.typical[s.level()]
	return typical > 0 && s.took > typical*slowFactor && s.took > typical+slowMargin
}

// endInterval ends the current interval if it is long enough and had enough
// successful requests. During a ramp it raises the limit if those requests show
// that the backend server can handle the current limit. If they became much
// slower than those of the interval before, it lowers the limit by increment
// instead, which is up to twice the last increase.
func (l *limiter) endInterval(now time.Time) {
	if now.Sub(l.interval.start) < l.growthInterval() || l.interval.succeeded < l.allowed() {
		return
	}
	ended := l.interval
	l.interval = interval{start: now}
	if !l.ramping || (l.cold && now.Sub(l.rampStart) < maxColdHold) {
		return
	}
	mean := ended.took / time.Duration(ended.succeeded)
	if l.lastMean > 0 && float64(mean) > intervalSlowFactor*float64(l.lastMean) && mean > l.lastMean+slowMargin {
		l.limit = max(l.limit-l.increment, l.minLimit())
		l.increment = 1
		l.lastMean = mean
		return
	}
	l.lastMean = mean
	if ended.broken*4 > ended.succeeded {
		l.increment = 1
		return
	}
	if float64(ended.comparedTime) > baselineFactor*float64(ended.baselineTime) && !l.sawRefusal {
		l.relaxBaseline()
		return
	}
	l.raise(ended.peak)
}

// growthInterval returns the minimum time between two increases of the limit.
func (l *limiter) growthInterval() time.Duration {
	if l.sawRefusal {
		return refusedGrowthInterval
	}
	return growthInterval
}

// relaxBaseline raises the baseline a little, because it may be outdated; see
// baselineGrowthDivisor.
func (l *limiter) relaxBaseline() {
	for level, baseline := range l.baseline {
		l.baseline[level] += baseline / baselineGrowthDivisor
	}
}

// raise adds the increment to the limit. The increment then doubles, up to half
// of the limit. It stays small if too few requests ran to show that the backend
// server can handle the limit, or if the backend server announces that it is
// cold.
func (l *limiter) raise(peak int) {
	if float64(peak) < reachedShare*l.limit {
		l.increment = min(l.increment, l.slowGrowth())
	}
	l.limit += l.increment
	l.increment = min(2*l.increment, max(l.limit*maxGrowthShare, 1))
	if l.cold {
		l.increment = min(l.increment, l.slowGrowth())
	}
	if l.limit >= float64(l.slots) {
		l.limit = float64(l.slots)
		l.ramping, l.unconfirmed = false, false
	}
}

// slowGrowth returns the maximum increment while growth is slow; see
// slowGrowthDivisor.
func (l *limiter) slowGrowth() float64 {
	return float64(max(l.slots/slowGrowthDivisor, 1))
}
