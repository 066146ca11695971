package gateway

import (
	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/model/routing"
)

// Parameters of the free output allowance (docs/allowance.md). The gateway's clients declare no funds: a tenant counts as
// unfunded while its quota is nearly spent across all routers. The allowance depends on the route and on the estimated wait.
// Up to a wait of the route's target latency it is the ceiling, the largest output requested on the route so far. From
// allowanceFloorWaitFactor times the target latency on it is the floor, the ceiling divided by allowanceFloorDivisor. Both
// ratios equal those of the default allowance settings in package fleetconfig.
const (
	allowanceFloorDivisor    = 8  // the defaults: 4096 and 512 tokens
	allowanceFloorWaitFactor = 5  // the defaults: 300 s and 60 s
	assumedTokensPerSecond   = 10 // of a runner that has not completed a stream yet
)

// applyAllowance rejects a request of an unfunded tenant if its requested output exceeds the allowance. It is applied once,
// on admission.
func (r *request) applyAllowance() error {
	if r.meta.OutputTokens == 0 || r.service.Engine == nil {
		return nil
	}
	ceiling := r.gateway.maxOutputTokens.observe(r.route.Name, r.meta.OutputTokens)
	if r.funded() {
		return nil
	}
	estimates := r.gateway.Balancer.Estimates(r.service.Name, r.meta.Model)
	decision := allow.Decide(allowanceParameters(&r.route.RouteSpec, ceiling), allow.Demand{Tokens: r.meta.OutputTokens}, estimates, 0)
	switch decision.Outcome {
	case allow.NoFunds:
		return reject(CodeAllowanceExceeded)
	case allow.NoRunner:
		return reject(CodeNoRunner)
	}
	return nil
}

// allowanceParameters returns the allowance parameters of a route; ceiling is the largest output requested on it, in tokens.
func allowanceParameters(route *routing.RouteSpec, ceiling int) fleetconfig.Allowance {
	return fleetconfig.Allowance{Ceiling: ceiling, Floor: ceiling / allowanceFloorDivisor, FullUntil: route.TargetLatency,
		FloorFrom: allowanceFloorWaitFactor * route.TargetLatency, AssumedTokensPerSecond: assumedTokensPerSecond}
}

// funded reports whether the request has no rate limit or enough of its tenant's quota is left.
func (r *request) funded() bool {
	return r.tenant == nil || r.tenant.Rate <= 0 || !r.gateway.Quotas.Scarce(r.tenant.QuotaName())
}
