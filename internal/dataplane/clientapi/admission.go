package clientapi

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
)

// releaseUnits gives back the units that were reserved and not spent.
func (x *exchange) releaseUnits() {
	if x.reservedUnits > 0 {
		x.server.QuotaShares.For(x.tenant.Name).Cancel(x.reservedUnits)
		x.reservedUnits = 0
	}
}

// eligibleRunners lists the runners that serve what is asked, whatever their health.
func (x *exchange) eligibleRunners() []*runner.Instance {
	var out []*runner.Instance
	for _, instance := range x.server.Runners.List() {
		if instance.Serves(x.pool.Select, x.model, x.maxTokens) {
			out = append(out, instance)
		}
	}
	return out
}

// admit judges the free output allowance once, and reserves the tenant's quota.
func (x *exchange) admit() error {
	note := ""
	if !x.lane.WithoutPrompt {
		verdict, err := x.judgeAllowance()
		if err != nil {
			return err
		}
		note = fmt.Sprintf("%s, allowance %d, wait %.1f s", verdict.Outcome, verdict.Size, verdict.Wait.Seconds())
	}
	if err := x.reserveUnits(); err != nil {
		return err
	}
	return x.request.Advance(request.Admitted, note)
}

// judgeAllowance holds the output asked for against the free output allowance, and lowers it where the
// client lets us.
func (x *exchange) judgeAllowance() (allow.Verdict, error) {
	waiting, estimates := x.workAhead()
	demand := allow.Demand{Funded: x.tenant.Funded, Tokens: x.maxTokens, MayLower: gjson.GetBytes(x.body, "allow_downgrade").Bool()}
	verdict := allow.Decide(x.config.Allowance, demand, estimates, waiting)
	x.estimatedWait = verdict.Wait
	x.server.Metrics.AllowanceDecisions.WithLabelValues(x.tenantKind(), string(verdict.Outcome), allow.Bucket(x.maxTokens), allow.Bucket(verdict.Size)).Inc()
	x.server.Metrics.AllowanceWait.WithLabelValues(x.tenantKind()).Observe(verdict.Wait.Seconds())
	switch verdict.Outcome {
	case allow.NoFunds:
		return verdict, &Rejection{Status: 402, Code: "no-funds", RetryAfter: x.retryAfter(),
			Message: fmt.Sprintf("The free output allowance is %d tokens now; %d were asked for. Ask for less, or later, or use funds.", verdict.Size, x.maxTokens)}
	case allow.NoRunner:
		return verdict, &Rejection{Status: 503, Code: "no-runner", RetryAfter: 5 * time.Second,
			Message: fmt.Sprintf("No runner that is ready serves model %s with %d tokens of output.", x.model, x.maxTokens)}
	case allow.Lowered:
		x.loweredTo = verdict.Tokens
		x.lowerMaxTokens()
	}
	return verdict, nil
}

// workAhead is the output waiting in queues ahead of the request, and what is known of the healthy runners
// that could serve it.
func (x *exchange) workAhead() (waiting float64, estimates []allow.Estimate) {
	// Routers that queue for the same runners drain alike, so beside each token ahead here
	// others go ahead elsewhere, as far as there are any.
	ahead := x.server.Scheduler.TokensAhead(x.queueKind, x.lane.Priority, x.tenantIndex)
	elsewhere, routers := x.server.Runners.Waiting(x.queueKind)
	waiting = float64(ahead + min(elsewhere, ahead*routers))
	for _, instance := range x.eligibleRunners() {
		if instance.Health() == "" {
			queued, rate := instance.Estimate(waiting > 0)
			estimates = append(estimates, allow.Estimate{Queued: queued, Rate: rate})
		}
	}
	return waiting, estimates
}

// reserveUnits reserves the units of the tenant's quota that this run costs.
func (x *exchange) reserveUnits() error {
	if quota := x.tenant.Quota; quota.Units > 0 {
		cost := 1
		if quota.Tokens > 0 && x.maxTokens > 0 {
			cost = (x.maxTokens + quota.Tokens - 1) / quota.Tokens
		}
		if cost > quota.Units {
			return &Rejection{Status: 429, Code: "over-quota", Message: fmt.Sprintf("This query costs %d units; the quota is %d.", cost, quota.Units)}
		}
		x.server.QuotaShares.For(x.tenant.Name).SetLimit(quota.Units, quota.Window)
		ok, again := x.server.QuotaShares.Reserve(x.incoming.Context(), x.tenant.Name, cost)
		if !ok {
			return &Rejection{Status: 429, Code: "quota-spent", RetryAfter: again, Message: "The tenant's quota is spent for now."}
		}
		x.reservedUnits = cost
	}
	return nil
}

// tenantKind tells how a tenant pays, for the metrics.
func (x *exchange) tenantKind() string {
	if x.tenant.Funded {
		return "funded"
	}
	return "unfunded"
}

// retryAfter is when to come back: once the work ahead should have fallen by half, within a minute.
func (x *exchange) retryAfter() time.Duration {
	return min(max(x.estimatedWait/2, time.Second), time.Minute)
}
