package router

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/gateway"
	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/quota"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// Gateway holds the components of a router in the platform's router role. They are set by NewGateway and must not be
// replaced.
type Gateway struct {
	Cluster       *cluster.Member
	Registry      *registry.Registry
	Balancer      *balance.Balancer
	QuotaShares   *quota.Shares
	Pool          *upstream.Pool
	ClientHandler *gateway.Gateway

	ctx      daemon.Context
	settings GatewaySettings
	sessions *sessionSync
	table    atomic.Pointer[routing.Table]
}

// quotaMargin is added to the window of a quota, to cover the time that a request takes to reach its runner.
const quotaMargin = 50 * time.Millisecond

// reportInterval is the interval of the log entries that count requests by how they ended.
const reportInterval = 5 * time.Second

// NewGateway assembles a gateway.
func NewGateway(ctx daemon.Context, settings GatewaySettings) *Gateway {
	g := &Gateway{ctx: ctx, settings: settings, Balancer: balance.New(ctx.Zone)}
	g.Pool = upstream.New(upstream.Options{Dial: settings.Dial})
	g.Registry = registry.New(g.Balancer.Update)
	g.Cluster = cluster.NewMember(ctx.WithComponent("node"), settings.InternalAddr, settings.ClientAddr, settings.Seeds, g.applyRecord,
		cluster.WithConfigHandler(g.applyTable), cluster.WithRegistry(g.Registry), cluster.WithRunnerStats(g.runnerStats, g.applyFindings))
	g.sessions = newSessionSync(g)
	g.Cluster.RegisterHandler("session", g.sessions.handle)
	g.QuotaShares = quota.NewShares(ctx.WithComponent("share"), quota.Config{Transfer: newTransferQueue(ctx, g.Cluster).transfer, Nodes: func() int { return len(g.Cluster.Nodes()) },
		ScarceTenants: g.Cluster.ScarceTenants, Rules: g.quotaRules, RecentContact: g.Cluster.CoreResponsive, InContact: func() bool { return !g.Cluster.CoreTimedOut() }, Margin: quotaMargin})
	g.ClientHandler = gateway.New(gateway.Options{Dialect: settings.Dialect, Table: g.table.Load, NotReadyReason: g.unavailableReason, Balancer: g.Balancer,
		Pool: g.Pool, Quotas: quotas{g.QuotaShares}, Retries: settings.Retries, LocalShare: g.localShare,
		Keys: gateway.KeyBounds{RevocationTerm: settings.RevocationTerm, ConfirmedAt: g.Cluster.ConfirmedAt}, Log: ctx.WithComponent("gateway").Log})
	return g
}

// applyRecord applies a disseminated record that holds neither the configuration nor a runner.
func (g *Gateway) applyRecord(record dissemination.Record) { g.sessions.applyRecord(record) }

// applyTable parses a newer configuration and applies its routing table. A configuration with errors is rejected.
func (g *Gateway) applyTable(version uint64, raw []byte) error {
	table, fieldErrors := g.settings.ParseTable(raw)
	if len(fieldErrors) > 0 {
		return eris.Wrapf(fieldErrors[0], "router: configuration %d", version)
	}
	g.table.Store(table)
	g.QuotaShares.Wake()
	return nil
}

// Start starts all components except the listener for clients. They stop when the context ends.
func (g *Gateway) Start() {
	go g.QuotaShares.Run()
	go g.sessions.run()
	go g.Cluster.Run()
	go runloop.Run(g.ctx, g.settings.SeedUpdates, 0, g.Cluster.SetSeeds, nil)
	go runloop.Run(g.ctx, nil, reportInterval, func(struct{}) {}, g.ClientHandler.Report)
}
