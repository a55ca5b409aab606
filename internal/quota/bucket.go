package quota

import "time"

// wholeTokenTolerance is how much less than a whole token counts as one, so that
// a burst of 1 isn't lost to the rounding of fractions. The bucket goes below
// zero by the difference, so no extra token is created.
const wholeTokenTolerance = 1e-7

// bucket is a token bucket whose rate and size are passed with each call. The
// zero value is empty.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// advance adds tokens at rate a second for the time since the last call, and
// limits the bucket to size. On the first call, and if the clock goes back, it
// adds none.
func (b *bucket) advance(now time.Time, rate, size float64) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.updatedAt = now
	}
	b.clip(size)
}

// clip drops the tokens above size.
func (b *bucket) clip(size float64) {
	b.tokens = min(b.tokens, max(0, size))
}

// wholeTokens returns the number of whole tokens.
func (b *bucket) wholeTokens() int {
	return int(b.tokens + wholeTokenTolerance)
}

// reset empties the bucket, which is refilled from now on.
func (b *bucket) reset(now time.Time) {
	*b = bucket{updatedAt: now}
}

// take removes one token, if there is a whole one.
func (b *bucket) take() bool {
	if b.wholeTokens() < 1 {
		return false
	}
	b.tokens--
	return true
}

// loan is a batch of tokens as its home records it, until it expires or the
// borrower has reported all of it as spent.
type loan struct {
	id        uint64
	count     int
	spent     int
	expiresAt time.Time
}

func (l *loan) remaining() int { return l.count - l.spent }

// loanSet holds the loans of one account. All loans of a kind have the same life,
// so they expire in the order in which they were made.
type loanSet struct {
	byID        map[uint64]*loan
	queues      [loanKinds][]*loan
	outstanding int
}

// The kinds of loans, which differ in their life.
const (
	demandLoan = iota
	prefetchLoan
	loanKinds
)

func (s *loanSet) add(kind int, l *loan) {
	if s.byID == nil {
		s.byID = make(map[uint64]*loan)
	}
	s.byID[l.id] = l
	s.queues[kind] = append(s.queues[kind], l)
	s.outstanding += l.remaining()
}

// nextExpiry returns when the first of the loans expires.
func (s *loanSet) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, queue := range s.queues {
		if len(queue) > 0 && (first.IsZero() || queue[0].expiresAt.Before(first)) {
			first = queue[0].expiresAt
		}
	}
	return first, !first.IsZero()
}

// expire removes the loans that have expired by now.
func (s *loanSet) expire(now time.Time) {
	for kind, queue := range s.queues {
		expired := 0
		for expired < len(queue) && !now.Before(queue[expired].expiresAt) {
			s.remove(queue[expired].id)
			expired++
		}
		s.queues[kind] = queue[expired:]
	}
}

// report records how much of a loan is spent. Reports may be repeated and may
// arrive in any order.
func (s *loanSet) report(id uint64, spent int) {
	l := s.byID[id]
	if l == nil || spent <= l.spent {
		return
	}
	spent = min(spent, l.count)
	s.outstanding -= spent - l.spent
	l.spent = spent
	if l.remaining() == 0 {
		s.remove(id)
	}
}

// remove ends a loan and returns the tokens that were left in it: 0 for a loan
// that has already ended.
func (s *loanSet) remove(id uint64) int {
	l := s.byID[id]
	if l == nil {
		return 0
	}
	delete(s.byID, id)
	s.outstanding -= l.remaining()
	return l.remaining()
}
