package gateway

import "time"

// How long a request waits for the word that the keys known here still hold: a router that thaws or is joined again gets
// it with its next heartbeat.
const (
	keysWait  = 500 * time.Millisecond
	keysCheck = 20 * time.Millisecond
)

// needsKey tells whether a key decides whether the request may run.
func (r *request) needsKey() bool { return !r.route.Public && len(r.table.Tenants) > 0 }

// awaitKeys waits a moment where keys may have been taken away without our knowing. What became known meanwhile counts:
// the route is looked up anew.
func (r *request) awaitKeys() error {
	if !r.needsKey() || !r.gateway.Keys.Stale(time.Now()) {
		return nil
	}
	for r.gateway.Keys.Stale(time.Now()) {
		if time.Since(r.received) > keysWait {
			return refuseKeysStale
		}
		select {
		case <-time.After(keysCheck):
		case <-r.client.Context().Done():
			return refuseKeysStale
		}
	}
	r.table = r.gateway.Table()
	return r.findRoute()
}

// mayHoldStaleKey tells, before an attempt, whether the key may have been taken away too long ago by now: the request may
// have waited, or this process may have stood still. Once a runner may have run it, it goes on: it came in time.
func (r *request) mayHoldStaleKey() bool {
	return (r.sends == 0 || r.journey.unrun) && r.needsKey() && r.gateway.Keys.Stale(time.Now())
}
