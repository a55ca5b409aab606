package quota

import (
	"context"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// maxBorrowRounds bounds the round trips to the home for which one request
	// waits.
	maxBorrowRounds = 4
	// handoverRetryInterval is the time between two requests for tokens while a
	// delegation is on its way to the home.
	handoverRetryInterval = 2 * time.Millisecond
)

// Permit represents a token that was taken.
type Permit struct {
	m    *Manager
	a    *account
	loan uint64
}

// Return gives the token back, for a request that is known not to have been sent.
// It does nothing if the token may have been reported to the home as spent, if
// its loan has ended, or if the token came from the host's own fraction. It must
// be called at most once.
func (p Permit) Return() {
	if p.loan == 0 {
		return
	}
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.a.returnToken(p.m.now(), p.loan)
}

// Spend is like Take, for a token that is never returned.
func (m *Manager) Spend(ctx context.Context, name string) error {
	_, err := m.Take(ctx, name)
	return err
}

// Take takes one token of the account. Its error is a *verdict.Error with the
// verdict not-run. If the host holds no token, Take waits for the home.
func (m *Manager) Take(ctx context.Context, name string) (Permit, error) {
	s := m.snapshot.Load()
	a := s.accounts[name]
	if a == nil {
		refusedUnavailable.Add(1)
		return Permit{}, verdict.New(verdict.NotRun, verdict.QuotaUnavailable, "client account %q is not known here", name)
	}
	a.mu.Lock()
	ok := a.take(m.now(), *m.usableUntil.Load())
	p := Permit{m: m, a: a, loan: a.lastTakenLoan}
	a.mu.Unlock()
	if ok {
		spentTokens.Add(1)
		return p, nil
	}
	missedRequests.Add(1)
	return m.takeBorrowed(ctx, a)
}

// takeBorrowed waits for tokens from the account's home and takes one.
func (m *Manager) takeBorrowed(ctx context.Context, a *account) (Permit, error) {
	a.mu.Lock()
	a.waiting++
	defer func() {
		a.waiting--
		a.mu.Unlock()
	}()
	for range maxBorrowRounds {
		now := m.now()
		if now.Before(a.emptyUntil) {
			break
		}
		borrow, started := a.joinBorrow()
		need := a.waiting
		a.mu.Unlock()
		if started {
			m.startBorrow(a, need)
		}
		err := borrow.wait(ctx)
		a.mu.Lock()
		if err != nil {
			return Permit{}, err
		}
		if a.takeWithoutCounting(m.now(), *m.usableUntil.Load()) {
			spentTokens.Add(1)
			return Permit{m: m, a: a, loan: a.lastTakenLoan}, nil
		}
		if borrow.delegated {
			continue
		}
		if borrow.failed || !a.inHandover(m.now()) {
			break
		}
		a.mu.Unlock()
		_ = sleep(ctx, handoverRetryInterval)
		a.mu.Lock()
	}
	return Permit{}, m.refusal(a)
}

// refusal returns the error of a request that got no token; a.mu is held.
func (m *Manager) refusal(a *account) error {
	switch {
	case a.refilling || a.homeState == homeDelegated:
	case a.homeState == homeIdle:
		refusedUnavailable.Add(1)
		return verdict.New(verdict.NotRun, verdict.QuotaUnavailable,
			"the home of client account %q holds no tokens yet", a.name)
	default:
		refusedUnavailable.Add(1)
		return verdict.New(verdict.NotRun, verdict.QuotaUnavailable,
			"no host that holds tokens of client account %q can be reached", a.name)
	}
	refusedExceeded.Add(1)
	return verdict.New(verdict.NotRun, verdict.QuotaExceeded,
		"client account %q is above its rate and burst", a.name)
}

// wait returns when the request for tokens has ended, or with an error if ctx
// ends first.
func (b *pendingBorrow) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
	}
	code := verdict.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		code = verdict.DeadlineExceeded
	}
	return verdict.New(verdict.NotRun, code, "the request ended while it waited for a quota token")
}
