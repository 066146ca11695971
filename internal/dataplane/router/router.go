package router

import (
	"time"

	"yarrowridge/internal/dataplane/clientapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/place"
	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/quota"
)

// Router holds the components of a router for prompts. They are set by New and must not be replaced.
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

	ctx    daemon.Context
	sender *runner.Sender
}

const (
	prefixIndexSize    = 1 << 18                // entries of the prefix index
	requestLogSize     = 256                    // failed requests in the log
	workReportInterval = 250 * time.Millisecond // between reports of this router's work to the other routers
)

// New assembles a router. addr and clientAddr are its addresses for other processes and for clients, seeds are the addresses
// of processes through which it joins the fleet, and dial opens connections to runners (nil: over TCP).
func New(ctx daemon.Context, addr, clientAddr string, seeds []string, dial runner.Dial) *Router {
	r := &Router{ctx: ctx, Scheduler: place.NewScheduler(ctx.Zone, place.NewPrefixIndex(prefixIndexSize)), RequestLog: request.NewLog(requestLogSize), sender: runner.NewSender(dial)}
	r.Runners = runner.NewPool(ctx.Name, r.Scheduler.Wake)
	r.Cluster = cluster.NewMember(ctx.WithComponent("node"), addr, clientAddr, seeds, r.Runners.Apply)
	r.Metrics = metrics.New(metrics.Gauges{
		"yarrowridge_queued":          func() float64 { n, _ := r.Scheduler.Waiting(); return float64(n) },
		"yarrowridge_layout_sequence": func() float64 { return float64(r.Cluster.Self().ConfigVersion) },
		"yarrowridge_stale":           func() float64 { return metrics.FlagValue(r.Cluster.CoreTimedOut()) },
	})
	r.QuotaShares = quota.NewShares(ctx.WithComponent("share"), quota.Config{Transfer: newTransferQueue(ctx, r.Cluster).transfer, Nodes: func() int { return len(r.Cluster.Nodes()) },
		ScarceTenants: r.Cluster.ScarceTenants, Rules: quotaRules(r.Cluster), RecentContact: r.Cluster.CoreResponsive, InContact: func() bool { return !r.Cluster.CoreTimedOut() }})
	r.Claims = clientapi.NewClaims(ctx.WithComponent("claim"), r.Cluster)
	r.Streams = streamstore.New(ctx.WithComponent("stream"), r.Cluster)
	r.Clients = &clientapi.Server{Ctx: ctx.WithComponent("origin"), Cluster: r.Cluster, Runners: r.Runners, Scheduler: r.Scheduler, Sender: r.sender,
		Metrics: r.Metrics, Log: r.RequestLog, QuotaShares: r.QuotaShares, Retries: clientapi.NewRetryBudget(r.Metrics), Claims: r.Claims, Streams: r.Streams}
	r.Streams.OnTakeover = r.Clients.TakeOver
	return r
}

// Start starts all components. They stop when the context ends.
func (r *Router) Start() {
	go r.Scheduler.Run(r.ctx)
	go r.QuotaShares.Run()
	go r.Streams.Run()
	go r.Cluster.Run()
	go runloop.Run(r.ctx, nil, workReportInterval, func(struct{}) {}, newWorkReporter(r).report)
}

// quotaRules returns a function that returns the quotas in the member's current configuration. Tenants without a quota have
// no rule.
func quotaRules(member *cluster.Member) func() []quota.Rule {
	return func() []quota.Rule {
		var rules []quota.Rule
		if config := member.Config(); config != nil {
			for _, tenant := range config.Tenants {
				if tenant.Quota.Units > 0 {
					rules = append(rules, quota.Rule{Tenant: tenant.Name, Units: tenant.Quota.Units, Window: tenant.Quota.Window})
				}
			}
		}
		return rules
	}
}
