package gateway

import "time"

// KeyBounds say for how long tenants' keys are valid at a router that cannot ask whether they still are.
type KeyBounds struct {
	// RevocationTerm is the time from a configuration's acknowledgement within which a key that it revokes is of no use at any router.
	// 0: a router goes by the configuration that it has.
	RevocationTerm time.Duration
	// ConfirmedAt is the latest moment of which all configurations acknowledged before it are known to be obeyed. Requests
	// call it concurrently; it must not block.
	ConfirmedAt func() time.Time
}

// clockDriftDivisor is the fraction of the term, one over it, by which two machines' monotonic clocks may differ over it.
const clockDriftDivisor = 10

// Stale reports whether keys may have been revoked for longer than the term at a moment, without our knowing.
func (k KeyBounds) Stale(at time.Time) bool {
	return k.RevocationTerm > 0 && at.Sub(k.ConfirmedAt()) > k.RevocationTerm-k.RevocationTerm/clockDriftDivisor
}

// needsKey reports whether a key decides whether the request may run.
func (r *request) needsKey() bool { return !r.route.Public && len(r.table.Tenants) > 0 }

// keyMayBeRevoked reports, before an attempt, whether the key may have been revoked too long ago by now: the request may
// have waited, or this process may have been suspended. Once a runner may have run it, it goes on: it came in time.
func (r *request) keyMayBeRevoked() bool {
	return (r.sentAttempts == 0 || r.chart.notExecuted) && r.needsKey() && r.gateway.Keys.Stale(time.Now())
}
