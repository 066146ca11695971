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

// clientLimits bound what clients may send. They hold from before the first configuration is known.
var clientLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// RunGateway runs a router in the platform's role until the process is told to stop.
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
	go func() { _ = server.Run() }()                // if its listener fails, requests in flight are still finished
	settings.Metrics.Start(ctx, g.metricsHandler()) // last: it must not take a port that the others need
	<-process.Stop
	g.shutDown(ctx, server)
	return nil
}

const (
	leaveReserve = time.Second            // of the grace period, for the hand-over and the lease after the last request
	exitReserve  = 200 * time.Millisecond // of the grace period, for the end of the process itself
)

// shutDown shuts the router down gracefully: it finishes the requests in flight and leaves the fleet, within the grace period.
func (g *Gateway) shutDown(ctx daemon.Context, server *gateway.Server) {
	ctx.Log.Info("Router leaves. Requests in flight are finished.", slog.Int("open", g.ClientHandler.InFlight()))
	startedAt := time.Now()
	g.Cluster.StartDraining()
	g.ClientHandler.Drain()
	runloop.Sleep(ctx, g.settings.DrainNotice)
	draining, cancel := context.WithTimeout(ctx, g.settings.GracePeriod-time.Since(startedAt)-leaveReserve)
	defer cancel()
	if err := server.Drain(draining); err != nil {
		ctx.Log.Warn("The grace ended before the requests did.", slog.Int("open", g.ClientHandler.InFlight()))
	}
	leave(ctx, startedAt.Add(g.settings.GracePeriod-exitReserve), g.sessions.handOver, g.Cluster.Leave)
	g.Pool.Close()
}

// leave hands over the last session entries and releases the lease, both before a deadline: where no peer answers, the
// process must still end by itself. The hand-over has half of the time.
func leave(ctx context.Context, deadline time.Time, handOver, releaseLease func(context.Context)) {
	within, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	half, cancelHalf := context.WithTimeout(within, time.Until(deadline)/2)
	defer cancelHalf()
	handOver(half)
	releaseLease(within)
}
