package router

import (
	"context"
	"time"

	"yarrowridge/internal/model/quota"
)

// assumedRouters is the number of routers that is assumed if neither the current nor the previous number is known.
const assumedRouters = 16

// previousRouters returns the number of routers among which a total is split while the peers are unknown, which is the case
// in the first seconds of a new primary. reported is the number of routers before that primary, 0 if it reported none.
func previousRouters(reported int) int {
	if reported > 0 {
		return reported
	}
	return assumedRouters
}

// localShare returns this router's share of a total that is split among all routers, at least 1.
func (g *Gateway) localShare(total int) int {
	if len(g.Cluster.Nodes()) == 0 {
		return max(1, total/previousRouters(g.Cluster.PreviousRouters()))
	}
	return max(1, g.Cluster.Share(total))
}

// quotaRules returns the quotas in the current routing table.
func (g *Gateway) quotaRules() []quota.Rule {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	var rules []quota.Rule
	for _, tenant := range table.Tenants {
		if tenant.Rate > 0 {
			tenantQuota := g.settings.Quota.For(&tenant)
			rules = append(rules, quota.Rule{Tenant: tenant.QuotaName(), Units: tenantQuota.Units, Window: tenantQuota.Period})
		}
	}
	return rules
}

// quotas implements gateway.Quotas with this router's shares of the tenants' quotas.
type quotas struct{ quotaShares *quota.Shares }

// Reserve reserves units of a quota.
func (q quotas) Reserve(ctx context.Context, quota string, units int) (bool, time.Duration) {
	return q.quotaShares.Reserve(ctx, quota, units)
}

// Spend commits a reservation, whose units are then spent.
func (q quotas) Spend(quota string, units int) { q.quotaShares.For(quota).Commit(units) }

// Release cancels a reservation, so that its units can be reserved again.
func (q quotas) Release(quota string, units int) { q.quotaShares.For(quota).Cancel(units) }

// Unanswered reports whether a request to the core for units of the quota has not been answered.
func (q quotas) Unanswered(quota string) bool { return q.quotaShares.For(quota).Unanswered() }

// Scarce reports whether the core recently had too few units of the quota left.
func (q quotas) Scarce(quota string) bool { return q.quotaShares.For(quota).Scarce() }
