package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/dataplane/gateway"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// clientLimits limits requests and connections of clients. They also apply before the first configuration is known.
var clientLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// RunGateway runs a router in the platform's router role until the process receives the signal to stop.
func RunGateway(process *daemon.Process, settings GatewaySettings) error {
	daemon.SetMemoryLimit(settings.MemoryLimit)
	ctx := process.Ctx
	g := NewGateway(ctx, settings)
	internal, err := ctx.Net.Listen(settings.InternalAddr)
	if err != nil {
		return eris.Wrap(err, "router: internal listener")
	}
	if settings.ReadinessAddr != "" {
		handler, err := settings.ReadinessHandler(g.notReadyReason)
		if err != nil {
			return err
		}
		listener, err := settings.listen(settings.ReadinessAddr)
		if err != nil {
			return eris.Wrap(err, "router: readiness listener")
		}
		web.NewServer(listener, handler).Start()
	}
	go wire.Serve(ctx, internal, g.Cluster.Serve)
	g.Start()
	ctx.Log.Info("Router is up.", "internal", settings.InternalAddr, "data", settings.ClientAddr, "zone", ctx.Zone)
	data, err := settings.listen(settings.ClientAddr)
	if err != nil {
		return eris.Wrap(err, "router: clients' listener")
	}
	server := gateway.NewServer(data, g.ClientHandler, clientLimits)
	go func() { _ = server.Run() }()                // if its listener fails, requests in flight still complete
	settings.Metrics.Start(ctx, g.metricsHandler()) // last, so that it does not take a port that the other listeners need
	<-process.Stop
	g.shutDown(ctx, server)
	return nil
}

// Parts of the grace period that are reserved for what follows the last request. Requests may use at least seven eighths.
const (
	maxLeaveReserve     = time.Second
	leaveReserveDivisor = 8 // of the grace period
	stepDivisor         = 5 // of the reserve: to end the remaining requests, and for the process to exit
)

// shutdownPlan has the times of a shutdown, counted from the stop signal.
type shutdownPlan struct {
	drainEnd time.Duration // until then requests in flight complete
	cutEnd   time.Duration // until then the remaining requests are ended
	leaveEnd time.Duration // until then session entries are handed over and the lease is released; then the process exits
}

// planShutdown divides a grace period.
func planShutdown(grace time.Duration) shutdownPlan {
	reserve := min(maxLeaveReserve, grace/leaveReserveDivisor)
	step := reserve / stepDivisor
	return shutdownPlan{drainEnd: grace - reserve, cutEnd: grace - reserve + step, leaveEnd: grace - step}
}

// shutDown shuts the router down gracefully within the grace period: the requests in flight complete, and the router leaves
// the fleet.
func (g *Gateway) shutDown(ctx daemon.Context, server *gateway.Server) {
	ctx.Log.Info("Router leaves. Requests in flight are finished.", slog.Int("open", g.ClientHandler.InFlight()))
	startedAt, plan := time.Now(), planShutdown(g.settings.GracePeriod)
	g.Cluster.StartDraining()
	g.ClientHandler.Drain()
	runloop.Sleep(ctx, g.settings.DrainNotice)
	if err := drainServer(ctx, server.Drain, startedAt.Add(plan.drainEnd)); err != nil {
		ctx.Log.Warn("The grace ended before the requests did.", slog.Int("open", g.ClientHandler.InFlight()))
		_ = drainServer(ctx, server.EndRequests, startedAt.Add(plan.cutEnd)) // whatever does not end then ends with the process
	}
	leaveFleet(ctx, startedAt.Add(plan.leaveEnd), g.sessions.handOver, g.Cluster.Leave)
	g.Pool.Close()
}

// drainServer calls drain with a context that ends at a deadline.
func drainServer(ctx context.Context, drain func(context.Context) error, deadline time.Time) error {
	drainCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return drain(drainCtx)
}

// leaveFleet hands over the last session entries and releases the lease, both before a deadline: even if no peer answers,
// the process must exit by itself before it is killed. The hand-over may take half of the remaining time.
func leaveFleet(ctx context.Context, deadline time.Time, handOver, releaseLease func(context.Context)) {
	leaveCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	handOverCtx, cancelHandOver := context.WithTimeout(leaveCtx, time.Until(deadline)/2)
	defer cancelHandOver()
	handOver(handOverCtx)
	releaseLease(leaveCtx)
}
