package cluster

import (
	"time"
)

// Ready tells why no new clients should be sent to this node, or "".
func (h *Member) NotReadyReason() string {
	h.mu.Lock()
	quit := h.draining
	h.mu.Unlock()
	if quit {
		return "leaving"
	}
	return h.UnavailableReason()
}

// StartDraining begins leaving: we are no longer ready, but go on serving what comes.
func (h *Member) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Servable tells why this node can't serve at all yet, or "".
func (h *Member) UnavailableReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.current.Load() == nil:
		return "no layout yet"
	case !h.initialSyncDone:
		return "neither the core nor the hall's nodes have been asked yet"
	}
	return ""
}

// Stale reports whether the core has not been heard for a while: the configuration may be old.
func (h *Member) CoreSilent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.coreHeard) > staleAfter
}

// Fresh reports whether the core has answered one of the last two heartbeats.
func (h *Member) CoreResponsive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.coreHeard) < 2*heartbeatEvery+heartbeatEvery/2
}
