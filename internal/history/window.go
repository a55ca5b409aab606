package history

import "time"

// MaxInWindow returns the largest number of events in any window of the given
// length, both ends included. The events must be in order of time.
func MaxInWindow(events []time.Time, window time.Duration) int {
	best, first := 0, 0
	for i, at := range events {
		for at.Sub(events[first]) > window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}
