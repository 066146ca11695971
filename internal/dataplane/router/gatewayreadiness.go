package router

import (
	"time"
)

// unavailableReason returns the reason why this router cannot serve requests, or "" if it can.
func (g *Gateway) unavailableReason() string {
	if g.table.Load() == nil {
		return "no configuration yet"
	}
	if reason := g.Cluster.UnavailableReason(); reason != "" {
		return reason
	}
	if g.sessions.isAwaited() {
		return "the session directory is being fetched"
	}
	return ""
}

// notReadyReason returns the reason why new clients should not be sent to this router, or "" if they should.
func (g *Gateway) notReadyReason() string {
	if reason := g.Cluster.NotReadyReason(); reason != "" {
		return reason
	}
	if len(g.Registry.List()) == 0 {
		return "no runner is known yet"
	}
	if g.ClientHandler.Keys.Stale(time.Now()) {
		return "the keys may have been taken away"
	}
	return ""
}
