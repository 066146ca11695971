package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/gateway"
	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/quota"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// GatewaySettings are what a router that carries opaque requests is told about its place.
type GatewaySettings struct {
	InternalAddr     string            // ip:port where other processes reach it
	ClientAddr       string            // ip:port of the clients' listener
	ReadinessAddr    string            // ip:port of the readiness listener; "": none
	Seeds            []string          // ip:port of some cores
	SeedUpdates      <-chan []string   // seeds as the settings have them later
	Quota            routing.QuotaRule // how tenants' rates are judged
	Retries          gateway.RetryBounds
	RevocationTerm   time.Duration // within which a withdrawn key is of no use at any router; 0: at those that hear of it
	DrainNotice      time.Duration // how long a stop goes on serving all after readiness has turned
	GracePeriod      time.Duration // from the stop signal to the kill
	MemoryLimit      int64         // bytes; 0: none
	Dialect          gateway.Dialect
	ParseTable       func(raw []byte) (*routing.Table, []routing.Flaw)
	ReadinessHandler func(why func() string) (http.Handler, error) // answers readiness probes
	Metrics          metrics.Endpoint                              // where the router's own figures are served

	Dial   func(ctx context.Context, address string) (net.Conn, error) // reaches runners; nil: TCP
	Listen func(address string) (net.Listener, error)                  // for clients and probes; nil: TCP
}

// listen binds an address for clients or probes.
func (s GatewaySettings) listen(address string) (net.Listener, error) {
	if s.Listen != nil {
		return s.Listen(address)
	}
	return net.Listen("tcp", address)
}

// Gateway is the parts of a router that carries opaque requests, put together.
type Gateway struct {
	Cluster     *cluster.Member
	Registry    *registry.Registry
	Balancer    *balance.Balancer
	QuotaShares *quota.Shares
	Pool        *upstream.Pool
	Front       *gateway.Gateway

	ctx      daemon.Context
	settings GatewaySettings
	sessions *sessionSync
	table    atomic.Pointer[routing.Table]
}

// quotaMargin is added to the quota's window: it covers the way of a request to its runner.
const quotaMargin = 50 * time.Millisecond

// reportEvery is how often the log tells how requests ended.
const reportEvery = 5 * time.Second

// NewGateway puts a gateway's parts together.
func NewGateway(ctx daemon.Context, settings GatewaySettings) *Gateway {
	g := &Gateway{ctx: ctx, settings: settings, Balancer: balance.New(ctx.Zone)}
	g.Pool = upstream.New(upstream.Options{Dial: settings.Dial})
	g.Registry = registry.New(g.Balancer.Update)
	g.Cluster = cluster.NewMember(ctx.WithComponent("node"), settings.InternalAddr, settings.ClientAddr, settings.Seeds, g.seeRecord,
		cluster.WithDocument(g.take), cluster.WithRegistry(g.Registry), cluster.WithRunnerStats(g.tally, g.takeFindings))
	g.sessions = newSessionSync(g)
	g.Cluster.RegisterHandler("session", g.sessions.handle)
	g.QuotaShares = quota.NewShares(ctx.WithComponent("share"), quota.Config{Transfer: newTransferQueue(ctx, g.Cluster).transfer, Nodes: func() int { return len(g.Cluster.Nodes()) },
		ScarceTenants: g.Cluster.ScarceTenants, Rules: g.rules, RecentContact: g.Cluster.CoreResponsive, InContact: func() bool { return !g.Cluster.CoreSilent() }, Margin: quotaMargin})
	g.Front = gateway.New(gateway.Options{Dialect: settings.Dialect, Table: g.table.Load, Ready: g.canServe, Balancer: g.Balancer,
		Pool: g.Pool, Quotas: quotas{g.QuotaShares}, Retries: settings.Retries, LocalShare: g.part,
		Keys: gateway.KeyBounds{Term: settings.RevocationTerm, ConfirmedAt: g.Cluster.ConfirmedAt}, Log: ctx.WithComponent("gateway").Log})
	return g
}

// tally tells the core what became of attempts at runners since the last beat.
func (g *Gateway) tally() []coreapi.RunnerStats {
	var out []coreapi.RunnerStats
	for id, tally := range g.Balancer.Tally() {
		out = append(out, coreapi.RunnerStats{ID: id, Attempts: tally.Attempts, Failures: tally.Failures,
			TokenGaps: tally.Gaps, TokenGapsMs: int(tally.GapTotal.Milliseconds())})
	}
	return out
}

// takeFindings tells the balancer what all routers together saw of runners.
func (g *Gateway) takeFindings(findings cluster.RunnerFindings) {
	shares := make(map[string]float64, len(findings.Failing))
	for _, runner := range findings.Failing {
		shares[runner.ID] = runner.Share
	}
	g.Balancer.SetFailureShares(shares)
	g.Balancer.SetLowLatency(findings.LowLatency)
}

// seeRecord takes news that is neither a configuration nor a runner.
func (g *Gateway) seeRecord(record dissemination.Record) { g.sessions.applyRecord(record) }

// take puts a newer configuration in force.
func (g *Gateway) take(sequence uint64, raw []byte) error {
	table, flaws := g.settings.ParseTable(raw)
	if len(flaws) > 0 {
		return eris.Wrapf(flaws[0], "router: configuration %d", sequence)
	}
	g.table.Store(table)
	g.QuotaShares.Wake()
	return nil
}

// canServe tells why this router can serve nothing, or "".
func (g *Gateway) canServe() string {
	if g.table.Load() == nil {
		return "no configuration yet"
	}
	if why := g.Cluster.UnavailableReason(); why != "" {
		return why
	}
	if g.sessions.isAwaited() {
		return "the session directory is being fetched"
	}
	return ""
}

// ready tells why no new clients should be sent here, or "".
func (g *Gateway) ready() string {
	if why := g.Cluster.NotReadyReason(); why != "" {
		return why
	}
	if len(g.Registry.List()) == 0 {
		return "no runner is known yet"
	}
	if g.Front.Keys.Stale(time.Now()) {
		return "the keys may have been taken away"
	}
	return ""
}

// assumedRouters is how many routers are assumed where neither the nodes are known nor how many there were.
const assumedRouters = 16

// routersBefore gives how many routers share a whole while the nodes are not known yet: for the first seconds of a
// new primary.
func routersBefore(told int) int {
	if told > 0 {
		return told
	}
	return assumedRouters
}

// part is this router's part of a whole that all routers share, one at least.
func (g *Gateway) part(whole int) int {
	if len(g.Cluster.Nodes()) == 0 {
		return max(1, whole/routersBefore(g.Cluster.PreviousRouters()))
	}
	return max(1, g.Cluster.Share(whole))
}

// rules gives the quotas of the routing table in force.
func (g *Gateway) rules() []quota.Rule {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	var rules []quota.Rule
	for _, tenant := range table.Tenants {
		if tenant.Rate > 0 {
			periodic := g.settings.Quota.For(&tenant)
			rules = append(rules, quota.Rule{Tenant: tenant.QuotaName(), Units: periodic.Units, Window: periodic.Period})
		}
	}
	return rules
}

// quotas spends tenants' quotas from this router's shares of them.
type quotas struct{ quotaShares *quota.Shares }

// Reserve holds units of a quota.
func (q quotas) Reserve(ctx context.Context, quota string, units int) (bool, time.Duration) {
	return q.quotaShares.Reserve(ctx, quota, units)
}

// Spend turns a reservation into spent units.
func (q quotas) Spend(quota string, units int) { q.quotaShares.For(quota).Commit(units) }

// Release ends a reservation unspent.
func (q quotas) Release(quota string, units int) { q.quotaShares.For(quota).Cancel(units) }

// Scarce reports whether the core lately had too little left of the quota.
func (q quotas) Scarce(quota string) bool { return q.quotaShares.For(quota).Scarce() }

// Start begins all parts but the clients' listener; they end with the context.
func (g *Gateway) Start() {
	go g.QuotaShares.Run()
	go g.sessions.run()
	go g.Cluster.Run()
	go runloop.Run(g.ctx, g.settings.SeedUpdates, 0, g.Cluster.SetSeeds, nil)
	go runloop.Run(g.ctx, nil, reportEvery, func(struct{}) {}, g.Front.Report)
}

// startLimits bound what clients may send. They hold from before the first configuration is known.
var startLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// RunGateway runs a router that carries opaque requests until it is told to stop.
func RunGateway(p *daemon.Process, settings GatewaySettings) error {
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit * 6 / 10)
	}
	ctx := p.Ctx
	g := NewGateway(ctx, settings)
	internal, err := ctx.Net.Listen(settings.InternalAddr)
	if err != nil {
		return eris.Wrap(err, "router: internal listener")
	}
	if settings.ReadinessAddr != "" {
		handler, err := settings.ReadinessHandler(g.ready)
		if err != nil {
			return err
		}
		listener, err := settings.listen(settings.ReadinessAddr)
		if err != nil {
			return eris.Wrap(err, "router: readiness listener")
		}
		go web.NewServer(listener, handler).Run()
	}
	go wire.Serve(ctx, internal, g.Cluster.Serve)
	g.Start()
	ctx.Log.Info("Router is up.", "internal", settings.InternalAddr, "data", settings.ClientAddr, "zone", ctx.Zone)
	data, err := settings.listen(settings.ClientAddr)
	if err != nil {
		return eris.Wrap(err, "router: clients' listener")
	}
	server := gateway.NewServer(data, g.Front, startLimits)
	go server.Run()
	settings.Metrics.Start(ctx, g.metricsHandler()) // last: it must not take a port that the others need
	<-p.Stop
	g.stop(ctx, server)
	return nil
}

// leaveReserve is kept of the grace for giving up the lease after the last request.
const leaveReserve = time.Second

// exitReserve is kept of the grace for the end of the process itself.
const exitReserve = 200 * time.Millisecond

// stop finishes what was read and leaves.
func (g *Gateway) stop(ctx daemon.Context, server *gateway.Server) {
	ctx.Log.Info("Router leaves. Requests under way are finished.", slog.Int("open", g.Front.Open()))
	begun := time.Now()
	g.Cluster.StartDraining()
	g.Front.Drain()
	runloop.Sleep(ctx, g.settings.DrainNotice)
	left, end := context.WithTimeout(ctx, g.settings.GracePeriod-time.Since(begun)-leaveReserve)
	defer end()
	if err := server.Drain(left); err != nil {
		ctx.Log.Warn("The grace ended before the requests did.", slog.Int("open", g.Front.Open()))
	}
	leave(ctx, begun.Add(g.settings.GracePeriod-exitReserve), g.sessions.handOver, g.Cluster.Leave)
	g.Pool.Close()
}

// leave hands over the last news of sessions and gives up the lease, both before a deadline: where no peer answers,
// the process must still end by itself.
func leave(ctx context.Context, deadline time.Time, handOver, giveUpLease func(context.Context)) {
	within, end := context.WithDeadline(ctx, deadline)
	defer end()
	half, endHalf := context.WithTimeout(within, time.Until(deadline)/2)
	defer endHalf()
	handOver(half)
	giveUpLease(within)
}
