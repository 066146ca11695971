package gateway

import (
	"yarrowridge/internal/allow"
	"yarrowridge/internal/layout"
)

// The free output allowance on the gateway. The platform of a gateway's clients knows no funds: a tenant
// counts as unfunded for a request while it has nearly spent its quota. The thresholds follow the
// route's own aim: up to it the ceiling holds, and from half of the route's time-out the floor does.
const (
	allowanceCeiling = 16384 // tokens
	allowanceFloor   = 64    // tokens
	assumedRate      = 10    // tokens a second of a runner that has completed no stream
	unfundedLoad     = 0.9   // share of its quota from which on a tenant counts as unfunded
)

// judgeAllowance decides once, when the request arrives, whether an unfunded tenant may ask for so much.
func (r *request) judgeAllowance() error {
	if r.meta.OutputTokens == 0 || r.service.Engine == nil {
		return nil
	}
	feeds := r.gateway.Balancer.Feeds(r.service.Name, r.meta.Model)
	rule := layout.Allowance{Ceiling: allowanceCeiling, Floor: allowanceFloor,
		Full: r.route.TargetLatency, Low: max(r.route.Timeout/2, 2*r.route.TargetLatency), Rate: assumedRate}
	verdict := allow.Decide(rule, allow.Demand{Funded: r.funded(), Tokens: r.meta.OutputTokens}, feeds, 0)
	switch verdict.Outcome {
	case allow.NoFunds:
		return refuseAllowance
	case allow.NoRunner:
		return refuseNoRunner
	}
	return nil
}

// funded tells whether the tenant keeps within its sustained rate.
func (r *request) funded() bool {
	if r.tenant == nil || r.tenant.Rate <= 0 {
		return true
	}
	return r.gateway.Quotas.Load(r.tenant.Name) <= unfundedLoad
}
