package gateway

import "time"

// Limits of the wait for the router's configuration after a start, or for confirmation of its keys after it was suspended or
// disconnected. A request waits because a late response is better than a rejection.
const (
	maxReadyWait       = 500 * time.Millisecond // since the request was received
	readyCheckInterval = 20 * time.Millisecond
)

// waitUntil waits until a condition holds and reports whether it does. It gives up maxReadyWait after the request was received.
func (r *request) waitUntil(condition func() bool) bool {
	for !condition() {
		if time.Since(r.received) > maxReadyWait {
			return false
		}
		select {
		case <-time.After(readyCheckInterval):
		case <-r.httpRequest.Context().Done():
			return false
		}
	}
	return true
}

// awaitReady waits until the router is ready or draining, and reports whether it is ready.
func (r *request) awaitReady() bool {
	ready := func() bool { return r.gateway.NotReadyReason() == "" }
	return r.waitUntil(func() bool { return ready() || r.gateway.isDraining() }) && ready()
}

// awaitConfirmedKeys waits for confirmation if keys are stale. After a wait it looks up the route in the current routing
// table, which may have changed meanwhile.
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
