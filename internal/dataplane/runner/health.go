package runner

import (
	"time"
)

// Health returns "" if the runner can be sent new requests, else the reason why not, in the words shown to operators.
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
	case now.Sub(instance.heartbeatAt) > HeartbeatTimeout:
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

// overdue reports whether a request in flight should have received something by now. A response that is not streamed sends
// nothing until it is complete, so its limit allows for the time that the requested length takes.
func (instance *Instance) overdue(now time.Time) bool {
	for _, slot := range instance.slots {
		if now.After(slot.stalledAt) {
			return true
		}
	}
	return false
}

// RecordFailure records that the runner failed a request. The runner is ejected: it is sent no new requests for a backoff
// that doubles with each consecutive failure, and then a single request as a probe.
func (instance *Instance) RecordFailure() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.failures++
	backoff := min(maxEjection, minEjection<<min(instance.failures-1, 10))
	instance.ejectedUntil = time.Now().Add(backoff)
}
