package clientapi

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
)

// releaseUnits cancels the reservation of quota units that were not spent.
func (e *exchange) releaseUnits() {
	if e.reservedUnits > 0 {
		e.server.QuotaShares.For(e.tenant.Name).Cancel(e.reservedUnits)
		e.reservedUnits = 0
	}
}

// eligibleRunners returns the runners that serve the request's pool, model and output length, healthy or not.
func (e *exchange) eligibleRunners() []*runner.Instance {
	var eligible []*runner.Instance
	for _, instance := range e.server.Runners.List() {
		if instance.Serves(e.pool.Select, e.model, e.maxTokens) {
			eligible = append(eligible, instance)
		}
	}
	return eligible
}

// admit applies the free output allowance and reserves units of the tenant's quota. The rerun of a lost stream only reserves
// units.
func (e *exchange) admit() error {
	note := ""
	if !e.class.WithoutPrompt {
		decision, err := e.decideAllowance()
		if err != nil {
			return err
		}
		note = fmt.Sprintf("%s, allowance %d, wait %.1f s", decision.Outcome, decision.Allowance, decision.Wait.Seconds())
	}
	if err := e.reserveUnits(); err != nil {
		return err
	}
	return e.request.Advance(request.Admitted, note)
}

// decideAllowance compares the requested output with the free output allowance, and lowers max_tokens to the allowance if the
// client permits it.
func (e *exchange) decideAllowance() (allow.Decision, error) {
	waiting, estimates := e.workAhead()
	demand := allow.Demand{Funded: e.tenant.Funded, Tokens: e.maxTokens, MayLower: gjson.GetBytes(e.body, "allow_downgrade").Bool()}
	decision := allow.Decide(e.config.Allowance, demand, estimates, waiting)
	e.estimatedWait = decision.Wait
	e.server.Metrics.AllowanceDecisions.WithLabelValues(e.tenantKind(), string(decision.Outcome), allow.Bucket(e.maxTokens), allow.Bucket(decision.Allowance)).Inc()
	e.server.Metrics.AllowanceWait.WithLabelValues(e.tenantKind()).Observe(decision.Wait.Seconds())
	switch decision.Outcome {
	case allow.NoFunds:
		return decision, &Rejection{Status: 402, Code: CodeAllowanceExceeded, RetryAfter: e.retryAfter(),
			Message: fmt.Sprintf("The free output allowance is %d tokens now; %d were asked for. Ask for less, or later, or use funds.", decision.Allowance, e.maxTokens)}
	case allow.NoRunner:
		return decision, &Rejection{Status: 503, Code: CodeNoRunner, RetryAfter: 5 * time.Second,
			Message: fmt.Sprintf("No runner that is ready serves model %s with %d tokens of output.", e.model, e.maxTokens)}
	case allow.Lowered:
		e.loweredTo = decision.Tokens
		e.lowerMaxTokens()
	}
	return decision, nil
}

// workAhead returns the output tokens queued ahead of the request, and load estimates of the healthy runners that could serve
// it.
func (e *exchange) workAhead() (waiting float64, estimates []allow.Estimate) {
	// Routers that queue for the same runners drain at the same pace: for each token ahead here, each other router also
	// dispatches one, as long as it has any queued.
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

// reserveUnits reserves the quota units that this run costs. It rejects the request if they are not available.
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
		ok, retryAfter := e.server.QuotaShares.Reserve(e.incoming.Context(), e.tenant.Name, cost)
		if !ok && e.server.QuotaShares.For(e.tenant.Name).Unanswered() {
			return &Rejection{Status: 503, Code: CodeQuotaUnknown, RetryAfter: retryAfter, Message: "Whether the tenant's quota is spent is not known now."}
		}
		if !ok {
			return &Rejection{Status: 429, Code: CodeQuotaSpent, RetryAfter: retryAfter, Message: "The tenant's quota is spent for now."}
		}
		e.reservedUnits = cost
	}
	return nil
}

// tenantKind returns the metrics label for whether the tenant pays.
func (e *exchange) tenantKind() string {
	if e.tenant.Funded {
		return "funded"
	}
	return "unfunded"
}

// retryAfter returns the Retry-After delay of a rejection: half of the estimated wait, by when about half of the work ahead is
// done, but at least a second and at most a minute.
func (e *exchange) retryAfter() time.Duration {
	return min(max(e.estimatedWait/2, time.Second), time.Minute)
}
