package runner

import (
	"time"
)

// Health is "" where the runner may get new requests, and else why not, as operators read it.
func (instance *Instance) Health() string {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.health(time.Now())
}

func (instance *Instance) health(now time.Time) string {
	switch {
	case instance.replaced:
		return "replaced"
	case instance.report.State != "ready":
		return instance.report.State
	case now.Sub(instance.heardAt) > HeartbeatTimeout:
		return "silent"
	case now.Sub(instance.progressAt) > StallTimeout && instance.overdue(now):
		return "stuck"
	case now.Before(instance.ejectedUntil):
		return "failing"
	case instance.failures > 0 && instance.probing:
		return "on trial"
	}
	return ""
}

// overdue reports whether a request under way should have sent something by now. A whole response says
// nothing until it is finished, so its time is that of the length asked for.
func (instance *Instance) overdue(now time.Time) bool {
	for _, slot := range instance.slots {
		if now.After(slot.stalledAt) {
			return true
		}
	}
	return false
}

// RecordFailure records that a request failed by the runner's fault. The runner is ejected: it gets no new requests for a
// while, twice as long each time, and then one request as a probe.
func (instance *Instance) RecordFailure() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.failures++
	backoff := min(maxEjection, minEjection<<min(instance.failures-1, 10))
	instance.ejectedUntil = time.Now().Add(backoff)
}
