package claim

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// maxPending limits the ends that are being delivered in the background.
	maxPending = 1024
	// initialBackoff and maxBackoff are the first and the longest wait between two
	// attempts to deliver an end.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

var (
	// errTooManyPending means that maxPending ends are being delivered already.
	errTooManyPending = errors.New("claim: too many ends of claims wait for delivery; the claim stays held")
	// errClosed means that Close was called before a message arrived or the end of a
	// claim was reported.
	errClosed = errors.New("claim: closed")
)

// deliver sends the end of a claim to its arbiter in the background, until the
// arbiter confirms it or DeliveryTimeout has passed.
func (c *Claimer) deliver(a arbiter, id ID, e claimEnd) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		metricUndelivered.Add(1)
		return errClosed
	}
	if c.pending >= maxPending {
		metricUndelivered.Add(1)
		return errTooManyPending
	}
	c.pending++
	metricPendingDeliveries.Add(1)
	c.workers.Go(func() {
		defer c.deliveryDone()
		c.deliverWithRetries(a, id, e)
	})
	return nil
}

func (c *Claimer) deliverWithRetries(a arbiter, id ID, e claimEnd) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.DeliveryTimeout)
	defer cancel()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		attempt, cancelAttempt := context.WithTimeout(ctx, rpcTimeout)
		err := a.finish(attempt, id, e)
		cancelAttempt()
		if err == nil {
			return
		}
		if !sleep(ctx, backoff) {
			metricUndelivered.Add(1)
			eventUndelivered.Log(event.Fields{"claim-id": id.String(), "state": string(e.state), "error": err.Error()})
			return
		}
	}
}

func (c *Claimer) deliveryDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	metricPendingDeliveries.Add(-1)
	if c.closing && c.pending == 0 {
		close(c.drained)
	}
}
