package gateway

import "time"

// KeyBounds limits how long a router accepts tenants' keys without confirmation that they are still valid.
type KeyBounds struct {
	// RevocationTerm is the time within which a revoked key is rejected by every router, counted from the acknowledgement of
	// the configuration that revokes it. 0: no bound; a router uses the configuration that it has.
	RevocationTerm time.Duration
	// ConfirmedAt returns the latest time for which this router is known to have applied every configuration acknowledged
	// before it. It is called concurrently and must not block.
	ConfirmedAt func() time.Time
}

// clockDriftDivisor sets the clock drift that is allowed for: over one term the monotonic clocks of two machines may differ
// by term/clockDriftDivisor.
const clockDriftDivisor = 10

// Stale reports whether, at the given time, a key may have been revoked longer than the term ago without this router's
// knowledge.
func (k KeyBounds) Stale(at time.Time) bool {
	return k.RevocationTerm > 0 && at.Sub(k.ConfirmedAt()) > k.RevocationTerm-k.RevocationTerm/clockDriftDivisor
}

// needsKey reports whether the request needs a tenant's key.
func (r *request) needsKey() bool { return !r.route.Public && len(r.table.Tenants) > 0 }

// keyMayBeRevoked reports, before an attempt, whether the request's key may have been revoked longer than the term ago. The
// keys can become stale after authentication while the request waits or the process is suspended. The check is skipped once
// a runner may have run the request, because its key was valid when it was sent.
func (r *request) keyMayBeRevoked() bool {
	return (r.sentAttempts == 0 || r.chart.notExecuted) && r.needsKey() && r.gateway.Keys.Stale(time.Now())
}
