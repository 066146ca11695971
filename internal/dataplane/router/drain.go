package router

import (
	"context"
	"time"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
)

// drainPollInterval is how often a draining router checks whether its last requests have completed.
const drainPollInterval = 20 * time.Millisecond

// drain shuts the router down gracefully: the requests in flight complete, and the router leaves the fleet.
func (r *Router) drain(process *daemon.Process, servers []*web.Server) {
	ctx := process.Ctx
	ctx.Log.Info("Router leaves. Requests in flight are finished.")
	r.Cluster.StartDraining()
	runloop.Sleep(ctx, process.Settings.Duration("notice"))
	// Requests in flight complete however long they take, until the platform kills the process, unless an operator has set a
	// shorter limit.
	drainCtx, cancel := ctx.Context, context.CancelFunc(func() {})
	if limit := process.Settings.Duration("drain"); limit > 0 {
		drainCtx, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	for _, server := range servers {
		if err := server.Drain(drainCtx); err != nil {
			ctx.Log.Warn("Drain ended before its requests did.", "error", err.Error())
		}
	}
	for draining := true; draining; {
		draining = r.Claims.PendingCompletions()+r.Clients.InFlight() > 0 && runloop.Sleep(drainCtx, drainPollInterval)
	}
	r.Cluster.Leave(ctx)
	r.sender.Close()
}
