package rollout

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// CanaryPart is the part of the allowed share that candidates get while they are
	// tried. The rest is kept for the promotion and for rounding.
	CanaryPart = 0.4
	// usedPart is the part of the allowed share that is used at all, promotion
	// included.
	usedPart = 0.8
)

// share sends a fixed fraction of a service's first attempts to the candidates. With
// n calls it chooses at most one more than n times the fraction, and the random
// initial value keeps the sum over many hosts near the fraction of all calls.
type share struct {
	position atomic.Uint32
	step     uint32
}

func newShare(fraction float64) *share {
	s := &share{step: uint32(min(max(fraction, 0), 1) * math.MaxUint32)}
	s.position.Store(rand.Uint32())
	return s
}

// next reports whether the next call goes to a candidate: whenever the position wraps.
func (s *share) next() bool {
	return s.position.Add(s.step) < s.step
}

// fraction returns the part of the traffic that candidates get while they are tried.
func (m *Manager) fraction() float64 { return CanaryPart * m.config.MaxShare }

// promotionTime returns how long before the deadline a promotion begins: so late that
// the allowed share is kept if the candidates get all traffic until the deadline.
func (m *Manager) promotionTime(over time.Duration) time.Duration {
	return time.Duration((usedPart*m.config.MaxShare - m.fraction()) * float64(over))
}
