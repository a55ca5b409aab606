package admission

import (
	"math/bits"
	"time"
)

const (
	// coldShare is the share of the slots that a ramp starts with, as a
	// divisor.
	coldShare = 20
	// slowGrowthShare bounds one increase of the limit while the backend server
	// announces that it is cold, or has not shown that it bears the present
	// limit, as a divisor of the slots.
	slowGrowthShare = 16
	// reachedShare is the share of the limit that has to run at once to show
	// that the backend server bears it.
	reachedShare = 0.75
	// maxGrowth bounds one increase of the limit, as a share of the limit.
	maxGrowth = 0.5
	// stepLength is the shortest time between two increases of the limit.
	stepLength = 500 * time.Millisecond
	// refusedStepLength is stepLength for a backend server that refuses what it
	// does not bear, so that too early an increase does no harm.
	refusedStepLength = 100 * time.Millisecond
	// coldTrust is how long the limit stays at its floor while the backend server
	// announces that it is cold. The announcement may lag or be wrong, so that it
	// does not hold the limit for good.
	coldTrust = 10 * time.Second
	// warmFactor is how many times their time before a cold start requests may
	// take on average while the limit rises.
	warmFactor = 1.25
	// warmForgetting lets the times before a cold start grow with each step in
	// which they were exceeded, as a divisor, so that they cannot stop the rise
	// for good.
	warmForgetting = 8
	// refusalCut is the factor that one refusal lowers the limit by at most.
	refusalCut = 0.9
	// refusalsForgiven is the share of refusals that lowers nothing, per
	// successful request.
	refusalsForgiven = 0.01
	// maxForgiveness is the most refusals that are forgiven in a row.
	maxForgiveness = 2
	// slowFactor is how many times its usual time a slow request takes.
	slowFactor = 3
	// slowMargin is by how much a slow request exceeds its usual time at least.
	slowMargin = 5 * time.Millisecond
	// stepSlowFactor ends an increase of the limit: the mean time of a request
	// grew by more than the concurrency can have caused.
	stepSlowFactor = 2.5
	// usualWeight and slowWeight are the weights of a request's time in the
	// usual time, as divisors.
	usualWeight = 16
	slowWeight  = 256
	// minSuspects and maxSuspects bound the number of slow or broken requests
	// in a row that are taken for a silent return to cold start.
	minSuspects = 5
	maxSuspects = 20
	// minGenerations is the least number of generations of slow or broken
	// requests that are taken for a cold start. Requests of a generation ran at
	// the same time, so that one pause of the machine can explain them all.
	minGenerations = 3
	// concurrencyLevels is the number of levels of concurrency, in powers of
	// two, that the usual time is kept for.
	concurrencyLevels = 16
)

// sample is what one finished request tells the limiter.
type sample struct {
	outcome Outcome
	// begin is when the request began to run.
	begin time.Time
	// took is the time of the request without that of its nested calls.
	took time.Duration
	// started is the number of requests that ran when it started.
	started int
	// remaining is the number of requests that still run.
	remaining int
	// expired says that the request ran until its deadline.
	expired bool
	// nested says that it was waiting for a nested call when it ended.
	nested bool
}

// level is the level of concurrency at which the request started.
func (s *sample) level() int {
	return min(bits.Len(uint(max(s.started, 0))), concurrencyLevels-1)
}

// step counts the outcomes since the limit last changed by time.
type step struct {
	start     time.Time
	succeeded int
	broken    int
	peak      int
	took      time.Duration
	// warmTook is what the requests in tookAgain took before the cold start.
	warmTook, tookAgain time.Duration
}

// limiter is the adaptive limit on concurrent requests. Its limit is at most
// the announced slots, falls when the backend server refuses or breaks
// requests, and rises again with successes.
type limiter struct {
	config *Config
	slots  int
	limit  float64
	cold   bool // announced
	// stated is set where the backend server states how long it is cold and
	// what it bears meanwhile, so that neither is to be found out.
	stated  bool
	ramping bool
	// rampStart is when the present ramp began.
	rampStart time.Time
	// increment is added to the limit at the end of the next good step.
	increment   float64
	forgiveness float64
	step        step
	// lastMean is the mean time of a request in the last good step.
	lastMean time.Duration
	// usual is the usual time of a request by level of concurrency.
	usual [concurrencyLevels]time.Duration
	// warm is what usual was before the present ramp.
	warm [concurrencyLevels]time.Duration
	// refuses says that the backend server refused a request since the ramp
	// began.
	refuses  bool
	suspects suspects
}

// suspects counts slow or broken requests in a row.
type suspects struct {
	count       int
	generations int
	// generationEnd is when the first request of this generation ended. One
	// that began later belongs to the next generation.
	generationEnd time.Time
}

func (s *suspects) add(begin, end time.Time) {
	s.count++
	if s.generations == 0 || !begin.Before(s.generationEnd) {
		s.generations++
		s.generationEnd = end
	}
}

// allowed returns the number of requests that may run.
func (l *limiter) allowed() int {
	return int(l.limit)
}

func (l *limiter) floor() float64 {
	return float64(min(max(l.slots/coldShare, 1), l.slots))
}

// announce takes the announced slots and whether the backend server says that
// it is cold. It starts a ramp where restart is set or the backend server turned
// cold, and reports whether it did.
func (l *limiter) announce(slots int, cold, restart bool, now time.Time) bool {
	turnedCold := cold && !l.cold
	l.cold = cold
	grew := slots > l.slots
	l.slots = slots
	if restart || turnedCold {
		l.startRamp(now)
		return !l.stated
	}
	l.limit = max(min(l.limit, float64(slots)), l.floor())
	if grew {
		l.ramping = true
	}
	return false
}

// startRamp lowers the limit to its floor and forgets what was learnt.
func (l *limiter) startRamp(now time.Time) {
	l.step = step{start: now}
	l.rampStart = now
	l.increment = 1
	l.lastMean = 0
	l.suspects = suspects{}
	l.forgiveness = 0
	l.refuses = false
	for level, usual := range l.usual {
		if usual > 0 && !l.ramping {
			l.warm[level] = usual
		}
	}
	l.usual = [concurrencyLevels]time.Duration{}
	if l.stated || !l.config.enabled(ColdRamp) {
		l.limit = float64(l.slots)
		return
	}
	l.limit = l.floor()
	l.ramping = true
}

// observe takes a finished request. It reports whether the requests of late
// show a cold start that was not announced, in which case a ramp has begun.
func (l *limiter) observe(s sample, now time.Time) bool {
	l.step.peak = max(l.step.peak, s.remaining+1)
	switch s.outcome {
	case Succeeded:
		l.step.succeeded++
		l.step.took += s.took
		if warm := l.warm[s.level()]; warm > 0 {
			l.step.warmTook += warm
			l.step.tookAgain += s.took
		}
		l.forgiveness = min(l.forgiveness+refusalsForgiven, maxForgiveness)
		if l.learn(s) {
			return l.suspect(s, now)
		}
		l.suspects = suspects{}
		l.endStep(now)
	case Refused:
		l.refuse(s)
	case Broken:
		if s.nested || (s.expired && !l.slow(s)) {
			return false
		}
		l.step.broken++
		return l.suspect(s, now)
	}
	return false
}

// suspect counts a slow or broken request and starts a ramp when there were
// too many in a row.
func (l *limiter) suspect(s sample, now time.Time) bool {
	l.suspects.add(s.begin, now)
	if l.suspects.count < l.suspectLimit() || l.suspects.generations < minGenerations {
		return false
	}
	if l.stated || !l.config.enabled(SilentColdDetection) {
		return false
	}
	l.startRamp(now)
	return true
}

func (l *limiter) suspectLimit() int {
	return min(max(l.allowed()/2, minSuspects), maxSuspects)
}

// refuse lowers the limit towards the number of requests that the backend
// server was running when it refused one.
func (l *limiter) refuse(s sample) {
	l.refuses = true
	if l.forgiveness >= 1 {
		l.forgiveness--
		return
	}
	if l.stated || !l.config.enabled(RefusalCut) {
		return
	}
	if float64(s.remaining) >= l.limit {
		return
	}
	l.limit = max(float64(s.remaining), l.limit*refusalCut, l.floor())
	l.increment = 1
	l.ramping = true
}

// learn adds a successful request to the usual time at its level of
// concurrency, and reports whether it was slow against that.
func (l *limiter) learn(s sample) bool {
	usual := &l.usual[s.level()]
	if *usual == 0 {
		*usual = max(s.took, 1)
		return false
	}
	slow := l.slow(s)
	weight := time.Duration(usualWeight)
	if slow {
		weight = slowWeight
	}
	*usual = max(*usual+(s.took-*usual)/weight, 1)
	return slow
}

// slow reports whether the request took much longer than is usual at its level
// of concurrency.
func (l *limiter) slow(s sample) bool {
	usual := l.usual[s.level()]
	return usual > 0 && s.took > usual*slowFactor && s.took > usual+slowMargin
}

// endStep raises the limit when a step is complete and its requests show that
// the backend server bore the present limit.
func (l *limiter) endStep(now time.Time) {
	if now.Sub(l.step.start) < l.stepLength() || l.step.succeeded < l.allowed() {
		return
	}
	ended := l.step
	l.step = step{start: now}
	if !l.ramping || (l.cold && now.Sub(l.rampStart) < coldTrust) {
		return
	}
	mean := ended.took / time.Duration(ended.succeeded)
	if l.lastMean > 0 && float64(mean) > stepSlowFactor*float64(l.lastMean) && mean > l.lastMean+slowMargin {
		l.limit = max(l.limit-l.increment, l.floor())
		l.increment = 1
		l.lastMean = mean
		return
	}
	l.lastMean = mean
	if ended.broken*4 > ended.succeeded {
		l.increment = 1
		return
	}
	if float64(ended.tookAgain) > warmFactor*float64(ended.warmTook) && !l.refuses {
		l.forgetWarm()
		return
	}
	l.raise(ended.peak)
}

func (l *limiter) stepLength() time.Duration {
	if l.refuses {
		return refusedStepLength
	}
	return stepLength
}

func (l *limiter) forgetWarm() {
	for level, warm := range l.warm {
		l.warm[level] += warm / warmForgetting
	}
}

// raise adds the increment to the limit. The increment doubles with each good
// step up to half of the limit. It stays small where the limit was not reached,
// since the backend server has then not shown that it bears it.
func (l *limiter) raise(peak int) {
	if float64(peak) < reachedShare*l.limit {
		l.increment = min(l.increment, l.slowGrowth())
	}
	l.limit += l.increment
	l.increment = min(2*l.increment, max(l.limit*maxGrowth, 1))
	if l.cold {
		l.increment = min(l.increment, l.slowGrowth())
	}
	if l.limit >= float64(l.slots) {
		l.limit = float64(l.slots)
		l.ramping = false
	}
}

func (l *limiter) slowGrowth() float64 {
	return float64(max(l.slots/slowGrowthShare, 1))
}
