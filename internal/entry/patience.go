package entry

import "time"

const (
	// objectiveShare is the part of its route's objective that a call may wait
	// for room, as a divisor. One that would wait longer is better told early.
	objectiveShare = 4
	// begunShare is the part of its remaining time that a call beneath a running
	// one may wait, as a divisor: work was spent above it.
	begunShare = 2
	// minPatience is the least time that a call may wait.
	minPatience = 20 * time.Millisecond
)

// patience returns how long a call that arrived a while ago may still wait for
// room; 0 where its route states no objective.
func (x *exchange) patience(remaining time.Duration, now time.Time) time.Duration {
	if x.route == nil || x.route.Spec.ObjectiveMs == 0 {
		return 0
	}
	if x.request.Depth > 0 {
		return max(remaining/begunShare, minPatience)
	}
	most := time.Duration(x.route.Spec.ObjectiveMs) * time.Millisecond / objectiveShare
	return max(min(most-now.Sub(x.arrived), remaining/begunShare), minPatience)
}
