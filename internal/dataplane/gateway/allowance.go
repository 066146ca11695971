package gateway

import (
	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/model/routing"
)

// The free output allowance on the gateway (docs/allowance.md). Its clients know no funds: a tenant counts as unfunded
// while its quota is nearly spent over all routers. The figures follow the route: up to a wait of its target latency the
// ceiling holds, which is the most output that was asked for on it; from allowanceFloorTargets times the target on the
// floor does, the ceiling over allowanceFloorDivisor. Both ratios are the source's.
const (
	allowanceFloorDivisor  = 8  // ceiling over floor: 4096 tokens over 512
	allowanceFloorTargets  = 5  // target latencies of wait: 300 s over 60 s
	assumedTokensPerSecond = 10 // of a runner that has completed no stream
)

// applyAllowance decides once, when the request arrives, whether an unfunded tenant may ask for so much output.
func (r *request) applyAllowance() error {
	if r.meta.OutputTokens == 0 || r.service.Engine == nil {
		return nil
	}
	ceiling := r.gateway.maxOutputTokens.observe(r.route.Name, r.meta.OutputTokens)
	if r.funded() {
		return nil
	}
	estimates := r.gateway.Balancer.Estimates(r.service.Name, r.meta.Model)
	verdict := allow.Decide(allowanceRule(&r.route.RouteSpec, ceiling), allow.Demand{Tokens: r.meta.OutputTokens}, estimates, 0)
	switch verdict.Outcome {
	case allow.NoFunds:
		return reject(CodeAllowance)
	case allow.NoRunner:
		return reject(CodeNoRunner)
	}
	return nil
}

// allowanceRule gives the allowance's figures of a route on which ceiling tokens at most were asked for.
func allowanceRule(route *routing.RouteSpec, ceiling int) fleetconfig.Allowance {
	return fleetconfig.Allowance{Ceiling: ceiling, Floor: ceiling / allowanceFloorDivisor, FullUntil: route.TargetLatency,
		FloorFrom: allowanceFloorTargets * route.TargetLatency, AssumedTokensPerSecond: assumedTokensPerSecond}
}

// funded reports whether the tenant's quota is not nearly spent.
func (r *request) funded() bool {
	return r.tenant == nil || r.tenant.Rate <= 0 || !r.gateway.Quotas.Scarce(r.tenant.QuotaName())
}
