package cluster

import "sync"

// readiness is whether clients should be sent to this router. Its mutex guards all of it.
type readiness struct {
	mu       sync.Mutex
	synced   bool // the core, or failing that every router of the zone that answers, was asked for the configuration
	draining bool // clients should go elsewhere
}

func (r *readiness) setSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
}

func (r *readiness) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

func (r *readiness) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// StartDraining begins the graceful shutdown: this router is no longer ready, but serves the requests that still come.
func (m *Member) StartDraining() {
	m.readiness.mu.Lock()
	defer m.readiness.mu.Unlock()
	m.readiness.draining = true
}

// NotReadyReason says why no new clients should be sent to this router, or "".
func (m *Member) NotReadyReason() string {
	if m.readiness.isDraining() {
		return "leaving"
	}
	return m.UnavailableReason()
}

// UnavailableReason says why this router can serve no request at all yet, or "".
func (m *Member) UnavailableReason() string {
	m.readiness.mu.Lock()
	defer m.readiness.mu.Unlock()
	switch {
	case !m.config.isLoaded():
		return "no layout yet"
	case !m.readiness.synced:
		return "neither the core nor the hall's nodes have been asked yet"
	}
	return ""
}
