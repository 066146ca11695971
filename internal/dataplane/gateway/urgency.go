package gateway

import "time"

// Ranks of urgency, 0 the most urgent: a tenant's priority goes before the route's.
const (
	urgencyPerTenantRank = 3 // ranks that one step of a tenant's priority counts
	lowestUrgency        = 9
)

// urgency is how urgent the request is to a runner, 0 the most. A request that is late already, and can wait, goes behind
// all others: after an outage its target is missed whatever is done, and theirs are not yet.
func (r *request) urgency() int {
	if r.isLateWithTimeLeft() {
		return lowestUrgency
	}
	rank := r.route.Priority
	if r.tenant != nil {
		rank += urgencyPerTenantRank * r.tenant.Priority
	}
	return min(lowestUrgency, max(0, rank))
}

// isLateWithTimeLeft reports whether the client has waited for longer than its route's target latency, and has more time left than that:
// with less it might not be served at all. A stream that is resumed is not late: its reader waits for the next event.
func (r *request) isLateWithTimeLeft() bool {
	if r.route.TargetLatency <= 0 || r.responseStarted || r.meta.LastEventID != "" {
		return false
	}
	waited := r.waitedBefore() + time.Since(r.received)
	return waited > r.route.TargetLatency && r.remaining() > waited
}

// waitedBefore is how long the client has waited before this attempt of its own. A client says only what is left of its
// time: the longest that any of the route said is taken for the time that it began with.
func (r *request) waitedBefore() time.Duration {
	if r.meta.Deadline <= 0 {
		return 0
	}
	total := min(r.route.Timeout, r.gateway.maxDeadlines.observe(r.route.Name, r.meta.Deadline))
	return max(0, total-r.meta.Deadline)
}
