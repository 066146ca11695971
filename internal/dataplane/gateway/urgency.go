package gateway

import "time"

// Ranks of urgency: a tenant's priority goes before the route's.
const (
	urgencyPerTenantRank = 3
	urgencyLowest        = 9
)

// urgency is how urgent the request is to a runner, 0 the most. A request that is late already, and can wait, goes behind
// all others: after an outage its worth is lost in part whatever is done, and theirs is not yet.
func (r *request) urgency() int {
	if r.isLateWithTimeLeft() {
		return urgencyLowest
	}
	rank := r.route.Priority
	if r.tenant != nil {
		rank += urgencyPerTenantRank * r.tenant.Priority
	}
	return min(urgencyLowest, max(0, rank))
}

// isLateWithTime reports whether the client has waited for longer than its route aims at, and has more time left than that:
// with less it might not be served at all. A stream that is carried on is not late: its reader waits for the next event.
func (r *request) isLateWithTimeLeft() bool {
	if r.route.TargetLatency <= 0 || r.responseStarted || r.meta.LastEventID != "" {
		return false
	}
	waited := r.waitedBefore() + time.Since(r.received)
	return waited > r.route.TargetLatency && r.remaining() > waited
}

// waitedBefore is how long the client has waited before this try. It tells only what is left of its time: what the others
// of the route have at most is taken for the time that it began with.
func (r *request) waitedBefore() time.Duration {
	if r.meta.Deadline <= 0 {
		return 0
	}
	whole := min(r.route.Timeout, r.gateway.maxDeadlines.observe(r.route.Name, r.meta.Deadline))
	return max(0, whole-r.meta.Deadline)
}
