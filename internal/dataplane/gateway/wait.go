package gateway

import "time"

// How long a request waits for what the router is about to learn, from when it came: a late response is worth more than a
// rejection. A router that starts awaits its configuration, one that was suspended or cut off awaits confirmation that its
// keys are still valid.
const (
	maxReadyWait       = 500 * time.Millisecond
	readyCheckInterval = 20 * time.Millisecond
)

// waitUntil waits until a condition holds, for maxReadyWait at most, and reports whether it does.
func (r *request) waitUntil(holds func() bool) bool {
	for !holds() {
		if time.Since(r.received) > maxReadyWait {
			return false
		}
		select {
		case <-time.After(readyCheckInterval):
		case <-r.client.Context().Done():
			return false
		}
	}
	return true
}

// awaitReady waits for a router that has just started, unless it is draining already, and reports whether it is ready.
func (r *request) awaitReady() bool {
	ready := func() bool { return r.gateway.NotReadyReason() == "" }
	return r.waitUntil(func() bool { return ready() || r.gateway.draining.Load() }) && ready()
}

// awaitConfirmedKeys waits where keys may have been revoked without our knowing. What became known meanwhile counts: the
// route is looked up anew.
func (r *request) awaitConfirmedKeys() error {
	if !r.needsKey() || !r.gateway.Keys.Stale(time.Now()) {
		return nil
	}
	if !r.waitUntil(func() bool { return !r.gateway.Keys.Stale(time.Now()) }) {
		return reject(CodeKeysStale)
	}
	r.table = r.gateway.Table()
	return r.findRoute()
}
