// Package router puts the parts of the router program together.
package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/dataplane/clientapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/place"
	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/dataplane/tracing"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/settings"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/quota"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/operator"
	"yarrowridge/internal/transport/wire"
)

// Items are the settings of a router.
var Items = []settings.Setting{
	{Name: "name", Kind: settings.Text, Required: true, Help: "name of this process, its own in the fleet"},
	{Name: "hall", Kind: settings.Text, Required: true, Help: "hall it stands in"},
	{Name: "addr", Kind: settings.Addr, Required: true, Help: "ip:port where other processes reach it"},
	{Name: "origin", Kind: settings.Addr, Required: true, Help: "ip:port of the origins' listener"},
	{Name: "runner", Kind: settings.Addr, Required: true, Help: "ip:port of the runners' listener"},
	{Name: "listen", Kind: settings.Addr, Help: "ip:port to bind for other processes, where that is not addr"},
	{Name: "from", Kind: settings.IP, Help: "ip number to dial other processes and runners from; none: the system's choice"},
	{Name: "operator", Kind: settings.Addr, Help: "ip:port of the operators' listener"},
	{Name: "operator-key-hash", Kind: settings.Hash, Reloadable: true, Help: "hex SHA-256 of the operators' key"},
	{Name: "runner-key-hash", Kind: settings.Hash, Reloadable: true, Help: "hex SHA-256 of the runners' key; none: beats need no key"},
	{Name: "seeds", Kind: settings.List, Required: true, Help: "addresses of three other processes of the fleet"},
	{Name: "drain", Kind: settings.Duration, Help: "the most that a stop waits for queries under way; none: as long as they take"},
	{Name: "notice", Kind: settings.Duration, Default: "500ms", Help: "how long a stop goes on serving all after /ready has turned"},
	{Name: "trace", Kind: settings.Text, Help: "file to which each query's trace is appended; none: no traces"},
	{Name: "log", Kind: settings.Level, Reloadable: true, Default: "info", Help: "debug, info, warn or error"},
}

// Main runs a router and returns its exit code.
func Main(args []string, out io.Writer) int {
	process, code := daemon.Start("router", Items, args, out)
	if code >= 0 {
		return code
	}
	defer process.Close()
	if err := run(process); err != nil {
		fmt.Fprintf(out, "router: %s\n", err)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

// Router is the parts of one router, put together.
type Router struct {
	Cluster     *cluster.Member
	Runners     *runner.Pool
	Scheduler   *place.Scheduler
	QuotaShares *quota.Shares
	Claims      *clientapi.Claims
	Streams     *streamstore.Store
	RequestLog  *request.Log
	Metrics     *metrics.Metrics
	Clients     *clientapi.Server
	ctx         daemon.Context
	sender      *runner.Sender
}

// New puts a router together. clientAddr is where clients reach it, dial how it reaches runners (nil: TCP).
func New(ctx daemon.Context, addr, clientAddr string, seeds []string, dial runner.Dial) *Router {
	r := &Router{ctx: ctx, Scheduler: place.NewScheduler(ctx.Zone, place.NewPrefixIndex(1<<18)), RequestLog: request.NewLog(256), sender: runner.NewSender(dial)}
	r.Runners = runner.NewPool(ctx.Name, r.Scheduler.Wake)
	r.Cluster = cluster.NewMember(ctx.WithComponent("node"), addr, clientAddr, seeds, r.Runners.Apply)
	r.Metrics = metrics.New(metrics.Gauges{
		"yarrowridge_queued":          func() float64 { n, _ := r.Scheduler.Waiting(); return float64(n) },
		"yarrowridge_layout_sequence": func() float64 { return float64(r.Cluster.Self().ConfigVersion) },
		"yarrowridge_stale":           func() float64 { return metrics.FlagValue(r.Cluster.CoreSilent()) },
	})
	r.QuotaShares = quota.NewShares(ctx.WithComponent("share"), quota.Config{Transfer: newTransferQueue(ctx, r.Cluster).transfer, Nodes: func() int { return len(r.Cluster.Nodes()) },
		ScarceTenants: r.Cluster.ScarceTenants, Rules: quotaRules(r.Cluster), RecentContact: r.Cluster.CoreResponsive, InContact: func() bool { return !r.Cluster.CoreSilent() }})
	r.Claims = clientapi.NewClaims(ctx.WithComponent("claim"), r.Cluster)
	r.Streams = streamstore.New(ctx.WithComponent("stream"), r.Cluster)
	r.Clients = &clientapi.Server{Ctx: ctx.WithComponent("origin"), Cluster: r.Cluster, Runners: r.Runners, Scheduler: r.Scheduler, Sender: r.sender,
		Metrics: r.Metrics, Log: r.RequestLog, QuotaShares: r.QuotaShares, Retries: clientapi.NewRetryBudget(r.Metrics), Claims: r.Claims, Streams: r.Streams}
	r.Streams.OnTakeover = r.Clients.TakeOver
	return r
}

// Start begins all parts; they end with the context.
func (r *Router) Start() {
	go r.Scheduler.Run(r.ctx)
	go r.QuotaShares.Run()
	go r.Streams.Run()
	go r.Cluster.Run()
	go runloop.Run(r.ctx, nil, 250*time.Millisecond, func(struct{}) {}, r.workSpreader())
}

// run serves until the process is told to stop.
func run(process *daemon.Process) error {
	ctx := process.Ctx
	router := New(ctx, process.Settings["addr"], process.Settings["origin"], process.Settings.Addrs("seeds"), runner.DialFrom(process.Settings["from"]))
	tracer, err := tracing.Open(process.Settings["trace"], ctx.Name)
	if err != nil {
		return err
	}
	defer tracer.Close()
	router.Clients.Tracer = tracer
	listener, err := ctx.Net.Listen(process.Settings.ValueOr("listen", "addr"))
	if err != nil {
		return err
	}
	servers, err := router.listen(process)
	if err != nil {
		return err
	}
	go wire.Serve(ctx, listener, router.Cluster.Serve)
	router.Start()
	ctx.Log.Info("Router is up.", "addr", process.Settings["addr"], "origin", process.Settings["origin"], "hall", ctx.Zone)

	<-process.Stop
	if !faultinjection.Disabled("drain") {
		router.drain(process, servers)
	}
	return nil
}

// listen serves the APIs of clients, runners and operators, as far as they have an address.
func (r *Router) listen(process *daemon.Process) ([]*web.Server, error) {
	clients, err := web.Handler([]rest.Route{
		{Method: "GET", Path: "/alive", Handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{\"alive\":true}\n") }},
		{Method: "GET", Path: "/ready", Handler: operator.Ready(r.Cluster.NotReadyReason)},
	}, r.Clients)
	if err != nil {
		return nil, err
	}
	runners, err := (&runner.API{Cluster: r.Cluster, KeyHash: func() string { return process.Setting("runner-key-hash") }}).Handler()
	if err != nil {
		return nil, err
	}
	operators, err := (&operator.API{Ctx: r.ctx.WithComponent("operator"), Core: r.Cluster.Core, KeyHash: func() string { return process.Setting("operator-key-hash") },
		Ready: r.Cluster.NotReadyReason, Metrics: r.Metrics.Handler(), Views: r.views()}).Handler()
	if err != nil {
		return nil, err
	}
	var servers []*web.Server
	for _, api := range []struct {
		addr    string
		handler http.Handler
	}{{process.Settings["origin"], clients}, {process.Settings["runner"], runners}, {process.Settings["operator"], operators}} {
		if api.addr == "" {
			continue
		}
		server, err := web.Listen(api.addr, api.handler)
		if err != nil {
			return nil, err
		}
		go server.Run()
		servers = append(servers, server)
	}
	return servers, nil
}

// drain leaves the fleet and finishes the requests under way.
func (r *Router) drain(process *daemon.Process, servers []*web.Server) {
	ctx := process.Ctx
	ctx.Log.Info("Router leaves. Queries under way are finished.")
	r.Cluster.StartDraining()
	runloop.Sleep(ctx, process.Settings.Duration("notice"))
	// What was read is finished however long it takes; the platform's kill is the bound, unless an
	// operator has set one below it.
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
	for r.Claims.PendingCompletions()+r.Clients.Open() > 0 && runloop.Sleep(within, 20*time.Millisecond) {
	}
	r.Cluster.Leave(ctx)
	r.sender.Close()
}

// quotaRules gives the quotas of the config in force. A tenant whose quota was struck has none left to draw.
func quotaRules(member *cluster.Member) func() []quota.Rule {
	return func() []quota.Rule {
		var out []quota.Rule
		if config := member.Config(); config != nil {
			for _, tenant := range config.Tenants {
				if tenant.Quota.Units > 0 {
					out = append(out, quota.Rule{Tenant: tenant.Name, Units: tenant.Quota.Units, Window: tenant.Quota.Window})
				}
			}
		}
		return out
	}
}

// workSpreader spreads our own work, for the other routers' estimates, whenever it differs from the last.
func (r *Router) workSpreader() func() {
	gen, turn, last, still := uint64(1), uint64(0), "", 0
	key := runner.WorkPrefix + r.ctx.Name
	return func() {
		r.Runners.AggregateRemoteWork()
		r.Runners.RemoveExpired(time.Minute)
		w := r.Runners.OwnWork()
		_, w.Queued = r.Scheduler.Waiting()
		raw, err := w.MarshalMsg(nil)
		if err != nil {
			return
		}
		// An unchanged word is repeated each second, so that others know it still holds.
		now := fmt.Sprint(w) // maps print in order, so equal work reads alike
		if still++; now == last && still < 4 {
			return
		}
		turn, last, still = turn+1, now, 0
		// Word of an earlier run of ours comes back from the others; ours goes above it. No clock
		// is asked which run is the later.
		if old, _, ok := r.Cluster.Records.Get(key); ok && (old.Generation > gen || old.Generation == gen && old.Version >= turn) {
			gen = old.Generation + 1
		}
		r.Cluster.Broadcast(dissemination.Update{Records: []dissemination.Record{{Key: key, Generation: gen, Version: turn, Body: raw}}})
	}
}
