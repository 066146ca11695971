package router

import (
	"time"
)

// unavailableReason says why this router can serve no request, or "".
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

// notReadyReason says why no new clients should be sent to this router, or "".
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
