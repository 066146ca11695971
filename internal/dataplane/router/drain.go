package router

import (
	"context"
	"time"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
)

// drainPollInterval is how often a draining router looks whether its last requests have ended.
const drainPollInterval = 20 * time.Millisecond

// drain shuts the router down gracefully: it finishes the requests in flight and leaves the fleet.
func (r *Router) drain(process *daemon.Process, servers []*web.Server) {
	ctx := process.Ctx
	ctx.Log.Info("Router leaves. Requests in flight are finished.")
	r.Cluster.StartDraining()
	runloop.Sleep(ctx, process.Settings.Duration("notice"))
	// Requests in flight are finished however long they take; the platform's kill is the bound, unless an operator has set
	// one below it.
	within, cancel := ctx.Context, context.CancelFunc(func() {})
	if limit := process.Settings.Duration("drain"); limit > 0 {
		within, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	for _, server := range servers {
		if err := server.Drain(within); err != nil {
			ctx.Log.Warn("Drain ended before its requests did.", "error", err.Error())
		}
	}
	for draining := true; draining; {
		draining = r.Claims.PendingCompletions()+r.Clients.InFlight() > 0 && runloop.Sleep(within, drainPollInterval)
	}
	r.Cluster.Leave(ctx)
	r.sender.Close()
}
