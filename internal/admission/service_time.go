package admission

import (
	"time"

	"curranthold.example/curranthold/internal/quantile"
)

const (
	// p5Rise and p5Fall make a quantile estimate settle at the 5th percentile.
	p5Rise = 0.005
	p5Fall = 0.095
	// medianStep makes a quantile estimate settle at the median.
	medianStep = 0.05
	// serviceTimeHalfLife is the time after which an estimate that has not been
	// updated is halved. Otherwise an estimate above every deadline would
	// refuse all requests that could correct it.
	serviceTimeHalfLife = 500 * time.Millisecond
)

// serviceTime estimates quantiles of the time that successful requests take.
type serviceTime struct {
	p5Estimate, medianEstimate quantile.Estimate
	updated                    time.Time
}

func (s *serviceTime) observe(took time.Duration, now time.Time) {
	s.p5Estimate.Set(s.decayed(s.p5Estimate, now))
	s.p5Estimate.Observe(took, p5Rise, p5Fall)
	s.medianEstimate.Set(s.decayed(s.medianEstimate, now))
	s.medianEstimate.Observe(took, medianStep, medianStep)
	s.updated = now
}

// p5 returns the estimated 5th percentile as of now; see decayed.
func (s *serviceTime) p5(now time.Time) time.Duration {
	return s.decayed(s.p5Estimate, now)
}

// median returns the estimated median as of now; see decayed.
func (s *serviceTime) median(now time.Time) time.Duration {
	return s.decayed(s.medianEstimate, now)
}

// decayed returns the estimate, halved once for each serviceTimeHalfLife since
// the last update.
func (s *serviceTime) decayed(q quantile.Estimate, now time.Time) time.Duration {
	halvings := now.Sub(s.updated) / serviceTimeHalfLife
	if halvings <= 0 {
		return q.Value()
	}
	return q.Value() >> min(halvings, 62)
}
