package claim

import (
	"context"
	"time"
)

// housekeepingInterval is how often Run removes expired tickets and old rows.
const housekeepingInterval = time.Second

func (c *Claimer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Run removes expired tickets from memory and old rows from the table until ctx
// ends. It returns the error of ctx.
func (c *Claimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.issuer.advance()
			c.sweep(ctx)
		}
	}
}

// Close waits at most Config.CloseTimeout until the ends of claims are delivered.
// It then stops all goroutines of the Claimer except Run. Call it after all claims are
// finished: an end that is reported after Close may not be delivered.
func (c *Claimer) Close() error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil
	}
	c.closing = true
	if c.pending == 0 {
		close(c.drained)
	}
	c.mu.Unlock()

	timer := time.NewTimer(c.config.CloseTimeout)
	defer timer.Stop()
	select {
	case <-c.drained:
	case <-timer.C:
	}
	c.cancel()
	c.workers.Wait()
	c.batcher.close()
	return nil
}
