package router

import (
	"context"
	"time"

	"yarrowridge/internal/model/quota"
)

// assumedRouters is how many routers are assumed where neither the peers are known nor how many there were.
const assumedRouters = 16

// previousRouters returns how many routers share a total while the peers are not known yet, for the first seconds of a new
// primary. reported is how many there were before it; 0: it did not say.
func previousRouters(reported int) int {
	if reported > 0 {
		return reported
	}
	return assumedRouters
}

// localShare is this router's share of a total that all routers share, one at least.
func (g *Gateway) localShare(total int) int {
	if len(g.Cluster.Nodes()) == 0 {
		return max(1, total/previousRouters(g.Cluster.PreviousRouters()))
	}
	return max(1, g.Cluster.Share(total))
}

// quotaRules returns the quotas of the routing table in force.
func (g *Gateway) quotaRules() []quota.Rule {
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

// Reserve implements gateway.Quotas: it reserves units of a quota.
func (q quotas) Reserve(ctx context.Context, quota string, units int) (bool, time.Duration) {
	return q.quotaShares.Reserve(ctx, quota, units)
}

// Spend implements gateway.Quotas: it turns a reservation into spent units.
func (q quotas) Spend(quota string, units int) { q.quotaShares.For(quota).Commit(units) }

// Release implements gateway.Quotas: it ends a reservation unspent.
func (q quotas) Release(quota string, units int) { q.quotaShares.For(quota).Cancel(units) }

// Unanswered implements gateway.Quotas: it reports whether the core was asked for units of the quota and has not answered.
func (q quotas) Unanswered(quota string) bool { return q.quotaShares.For(quota).Unanswered() }

// Scarce implements gateway.Quotas: it reports whether the core lately had too little left of the quota.
func (q quotas) Scarce(quota string) bool { return q.quotaShares.For(quota).Scarce() }
