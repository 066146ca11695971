package gateway

import "time"

// Urgency is a rank; 0 is the most urgent. A tenant's priority takes precedence over the route's.
const (
	urgencyPerTenantPriority = 3 // ranks per step of a tenant's priority
	lowestUrgency            = 9
)

// urgency returns the request's urgency for the runner; 0 is the most urgent. A request that is already late and has time left
// gets the lowest urgency. After an outage its target latency is missed in any case, while other requests can still meet
// theirs.
func (r *request) urgency(responseStarted bool) int {
	if r.isLateWithTimeLeft(responseStarted) {
		return lowestUrgency
	}
	rank := r.route.Priority
	if r.tenant != nil {
		rank += urgencyPerTenantPriority * r.tenant.Priority
	}
	return min(lowestUrgency, max(0, rank))
}

// isLateWithTimeLeft reports whether the client has waited for longer than its route's target latency and has more time left
// than it has waited. With less time left, a request of the lowest urgency might not be served at all. A resumed stream is
// never late, because its client is waiting for the next event.
func (r *request) isLateWithTimeLeft(responseStarted bool) bool {
	if r.route.TargetLatency <= 0 || responseStarted || r.meta.LastEventID != "" {
		return false
	}
	waited := r.waitedInEarlierAttempts() + time.Since(r.received)
	return waited > r.route.TargetLatency && r.remaining() > waited
}

// waitedInEarlierAttempts estimates how long the client waited in its own earlier attempts. A client sends only its remaining
// time, so the longest deadline seen on the route is taken as the time that it started with.
func (r *request) waitedInEarlierAttempts() time.Duration {
	if r.meta.Deadline <= 0 {
		return 0
	}
	total := min(r.route.Timeout, r.gateway.maxDeadlines.observe(r.route.Name, r.meta.Deadline))
	return max(0, total-r.meta.Deadline)
}
