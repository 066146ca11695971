package node

import (
	"time"
)

// Ready tells why no new clients should be sent to this node, or "".
//
//	if why := hub.Ready(); why != "" { ... }
func (h *Hub) Ready() string {
	h.mu.Lock()
	quit := h.draining
	h.mu.Unlock()
	if quit {
		return "leaving"
	}
	return h.Servable()
}

// StartDraining begins leaving: we are no longer ready, but go on serving what comes.
//
//	hub.StartDraining()
func (h *Hub) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Servable tells why this node can't serve at all yet, or "".
//
//	if why := hub.Servable(); why != "" { ... }
func (h *Hub) Servable() string {
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

// Stale tells whether the core has not been heard for a while: the configuration may be old.
//
//	if hub.Stale() { ... }
func (h *Hub) Stale() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.coreHeard) > staleAfter
}

// Fresh tells whether the core has answered one of the last two heartbeats.
//
//	if hub.Fresh() { ... }
func (h *Hub) Fresh() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.coreHeard) < 2*heartbeatEvery+heartbeatEvery/2
}
