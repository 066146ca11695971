package cluster

import "sync"

// readiness is the state that decides whether clients should be sent to this router. Its mutex guards all fields.
type readiness struct {
	mu       sync.Mutex
	synced   bool // the configuration was compared with the core's or, if no core answered, with those of the zone's routers
	draining bool // graceful shutdown has begun
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

// StartDraining begins the graceful shutdown: this router is no longer ready, but still serves the requests that arrive.
func (m *Member) StartDraining() {
	m.readiness.mu.Lock()
	defer m.readiness.mu.Unlock()
	m.readiness.draining = true
}

// NotReadyReason returns why no new clients should be sent to this router, or "" if it is ready.
func (m *Member) NotReadyReason() string {
	if m.readiness.isDraining() {
		return "leaving"
	}
	return m.UnavailableReason()
}

// UnavailableReason returns why this router cannot serve any request yet, or "" if it can.
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
