package entry

import "time"

const (
	// objectiveDivisor divides the route's latency objective to give the time that
	// a root request may wait for admission. A call that would wait longer is better
	// refused early.
	objectiveDivisor = 4
	// remainingDivisor divides the remaining time to give the time that any call
	// may wait for admission. It is the only such bound for a nested call, because
	// a refusal would waste the work that its ancestors have already done.
	remainingDivisor = 2
	// minQueueWait is the minimum time that a call may wait for admission.
	minQueueWait = 20 * time.Millisecond
)

// maxQueueWait returns how long the call may still wait for admission at time now.
// It returns 0, which sets no limit, if the route has no latency objective.
func (x *activeCall) maxQueueWait(remaining time.Duration, now time.Time) time.Duration {
	if x.route == nil || x.route.Spec.ObjectiveMs == 0 {
		return 0
	}
	if x.request.Depth > 0 {
		return max(remaining/remainingDivisor, minQueueWait)
	}
	limit := time.Duration(x.route.Spec.ObjectiveMs) * time.Millisecond / objectiveDivisor
	return max(min(limit-now.Sub(x.arrived), remaining/remainingDivisor), minQueueWait)
}
