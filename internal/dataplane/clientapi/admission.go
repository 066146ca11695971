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
func (e *exchange) releaseUnits() {
	if e.reservedUnits > 0 {
		e.server.QuotaShares.For(e.tenant.Name).Cancel(e.reservedUnits)
		e.reservedUnits = 0
	}
}

// eligibleRunners lists the runners that serve what is asked, whatever their health.
func (e *exchange) eligibleRunners() []*runner.Instance {
	var out []*runner.Instance
	for _, instance := range e.server.Runners.List() {
		if instance.Serves(e.pool.Select, e.model, e.maxTokens) {
			out = append(out, instance)
		}
	}
	return out
}

// admit judges the free output allowance once, and reserves the tenant's quota.
func (e *exchange) admit() error {
	note := ""
	if !e.class.WithoutPrompt {
		verdict, err := e.judgeAllowance()
		if err != nil {
			return err
		}
		note = fmt.Sprintf("%s, allowance %d, wait %.1f s", verdict.Outcome, verdict.Allowance, verdict.Wait.Seconds())
	}
	if err := e.reserveUnits(); err != nil {
		return err
	}
	return e.request.Advance(request.Admitted, note)
}

// judgeAllowance holds the output asked for against the free output allowance, and lowers it where the
// client lets us.
func (e *exchange) judgeAllowance() (allow.Decision, error) {
	waiting, estimates := e.workAhead()
	demand := allow.Demand{Funded: e.tenant.Funded, Tokens: e.maxTokens, MayLower: gjson.GetBytes(e.body, "allow_downgrade").Bool()}
	verdict := allow.Decide(e.config.Allowance, demand, estimates, waiting)
	e.estimatedWait = verdict.Wait
	e.server.Metrics.AllowanceDecisions.WithLabelValues(e.tenantKind(), string(verdict.Outcome), allow.Bucket(e.maxTokens), allow.Bucket(verdict.Allowance)).Inc()
	e.server.Metrics.AllowanceWait.WithLabelValues(e.tenantKind()).Observe(verdict.Wait.Seconds())
	switch verdict.Outcome {
	case allow.NoFunds:
		return verdict, &Rejection{Status: 402, Code: CodeAllowanceExceeded, RetryAfter: e.retryAfter(),
			Message: fmt.Sprintf("The free output allowance is %d tokens now; %d were asked for. Ask for less, or later, or use funds.", verdict.Allowance, e.maxTokens)}
	case allow.NoRunner:
		return verdict, &Rejection{Status: 503, Code: CodeNoRunner, RetryAfter: 5 * time.Second,
			Message: fmt.Sprintf("No runner that is ready serves model %s with %d tokens of output.", e.model, e.maxTokens)}
	case allow.Lowered:
		e.loweredTo = verdict.Tokens
		e.lowerMaxTokens()
	}
	return verdict, nil
}

// workAhead is the output waiting in queues ahead of the request, and what is known of the healthy runners
// that could serve it.
func (e *exchange) workAhead() (waiting float64, estimates []allow.Estimate) {
	// Routers that queue for the same runners drain alike, so beside each token ahead here
	// others go ahead elsewhere, as far as there are any.
	ahead := e.server.Scheduler.TokensAhead(e.queueKind, e.class.Priority, e.tenantIndex)
	elsewhere, routers := e.server.Runners.RemoteQueuedTokens(e.queueKind)
	waiting = float64(ahead + min(elsewhere, ahead*routers))
	for _, instance := range e.eligibleRunners() {
		if instance.Health() == "" {
			queued, rate := instance.Estimate(waiting > 0)
			estimates = append(estimates, allow.Estimate{Queued: queued, Rate: rate})
		}
	}
	return waiting, estimates
}

// reserveUnits reserves the units of the tenant's quota that this run costs.
func (e *exchange) reserveUnits() error {
	if quota := e.tenant.Quota; quota.Units > 0 {
		cost := 1
		if quota.Tokens > 0 && e.maxTokens > 0 {
			cost = (e.maxTokens + quota.Tokens - 1) / quota.Tokens
		}
		if cost > quota.Units {
			return &Rejection{Status: 429, Code: CodeOverQuota, Message: fmt.Sprintf("This query costs %d units; the quota is %d.", cost, quota.Units)}
		}
		e.server.QuotaShares.For(e.tenant.Name).SetLimit(quota.Units, quota.Window)
		ok, again := e.server.QuotaShares.Reserve(e.incoming.Context(), e.tenant.Name, cost)
		if !ok && e.server.QuotaShares.For(e.tenant.Name).Unanswered() {
			return &Rejection{Status: 503, Code: CodeQuotaUnknown, RetryAfter: again, Message: "Whether the tenant's quota is spent is not known now."}
		}
		if !ok {
			return &Rejection{Status: 429, Code: CodeQuotaSpent, RetryAfter: again, Message: "The tenant's quota is spent for now."}
		}
		e.reservedUnits = cost
	}
	return nil
}

// tenantKind tells how a tenant pays, for the metrics.
func (e *exchange) tenantKind() string {
	if e.tenant.Funded {
		return "funded"
	}
	return "unfunded"
}

// retryAfter is when to come back: once the work ahead should have fallen by half, within a minute.
func (e *exchange) retryAfter() time.Duration {
	return min(max(e.estimatedWait/2, time.Second), time.Minute)
}
