package gateway

import "time"

// needsKey reports whether a key decides whether the request may run.
func (r *request) needsKey() bool { return !r.route.Public && len(r.table.Tenants) > 0 }

// awaitKeys waits a moment where keys may have been taken away without our knowing. What became known meanwhile counts:
// the route is looked up anew.
func (r *request) awaitKeys() error {
	if !r.needsKey() || !r.gateway.Keys.Stale(time.Now()) {
		return nil
	}
	if !r.waitUntil(func() bool { return !r.gateway.Keys.Stale(time.Now()) }) {
		return rejectKeysStale
	}
	r.table = r.gateway.Table()
	return r.findRoute()
}

// mayHoldStaleKey tells, before an attempt, whether the key may have been taken away too long ago by now: the request may
// have waited, or this process may have stood still. Once a runner may have run it, it goes on: it came in time.
func (r *request) keyMayBeRevoked() bool {
	return (r.sentAttempts == 0 || r.progress.notExecuted) && r.needsKey() && r.gateway.Keys.Stale(time.Now())
}
