package gateway

import (
	"context"
	"errors"

	"yarrowridge/internal/dataplane/retry"
	"yarrowridge/internal/model/routing"
)

// serve makes attempts until a runner has answered or no further attempt may be made.
//
// Invariant: once a byte of the request may have left for a runner, it is sent again only where its route is idempotent
// or where the runner promised not to have run it. mayRetry decides it and stateChart.advance enforces it.
func (r *request) serve() error {
	r.tried = map[int]bool{}
	r.gateway.budget.RecordFirstAttempt(r.service.Name, r.retryRule())
	var stream *streamResponse
	if r.route.Kind == routing.Streaming {
		stream = &streamResponse{request: r, lastID: r.meta.LastEventID}
	}
	for {
		if err := r.revalidate(); err != nil {
			return err
		}
		outcome, err := r.attempt(stream)
		switch outcome {
		case outcomeEnded, outcomeFinal:
			return err
		case outcomeNotSent:
			if r.remaining() <= 0 || errors.Is(r.client.Context().Err(), context.Canceled) {
				return r.giveUp(err)
			}
			continue
		case outcomeNotExecuted, outcomeUnknown:
			if !r.mayRetry(outcome) {
				return r.giveUp(err)
			}
		case outcomeRetryGranted:
		}
		if err := r.chart.advance(Admitted); err != nil {
			return err
		}
	}
}

// retryRule is this router's share of the fleet's bound on retries.
func (r *request) retryRule() retry.Policy {
	bounds := r.gateway.Retries
	return retry.Policy{Ratio: bounds.Ratio, Burst: r.gateway.LocalShare(bounds.Allowance)}
}

// mayRetry reports whether the request may be sent to a further runner after its last attempt, and takes the retry out of
// the budget if so.
func (r *request) mayRetry(last attemptOutcome) bool {
	if last == outcomeUnknown && !r.route.Idempotent() {
		return false
	}
	if r.sentAttempts >= max(1, r.route.MaxAttempts) || r.remaining() <= 0 || r.client.Context().Err() != nil {
		return false
	}
	if !r.hasUntriedRunner() {
		return false
	}
	return r.gateway.budget.Take(r.service.Name)
}

// hasUntriedRunner reports whether a ready runner of the service has not been tried.
func (r *request) hasUntriedRunner() bool {
	for _, runner := range r.gateway.Balancer.Runners(r.service.Name) {
		if !r.tried[runner.Index] && runner.Info().State == routing.RunnerReady {
			return true
		}
	}
	return false
}

// giveUp ends a request for which no further attempt is made.
func (r *request) giveUp(err error) error {
	if r.client.Context().Err() != nil {
		return reject(CodeClientLeft)
	}
	return err
}

// revalidate applies the routing table in force before each attempt: a key or a route that was revoked meanwhile is
// obeyed, and so is a route that leads to other services by now.
func (r *request) revalidate() error {
	if r.keyMayBeRevoked() {
		return reject(CodeKeysStale)
	}
	table := r.gateway.Table()
	if table.Revision == r.table.Revision {
		return nil
	}
	route := table.Match(r.client.Host, r.client.URL.Path)
	if route == nil || route.Kind != r.route.Kind {
		return r.revoked(CodeNoRoute)
	}
	tenant, known := tenantFor(table, route, r.meta.Key)
	if !known || tenant != nil && r.tenant != nil && tenant.Name != r.tenant.Name {
		return r.revoked(CodeUnknownKey)
	}
	if (tenant == nil) != (r.tenant == nil) {
		return r.revoked(CodeNotReady)
	}
	r.table, r.route, r.tenant, r.service = table, route, tenant, r.serviceIn(table, route)
	return nil
}

// serviceIn is the request's service by a newer table: the one that it has, while the route still leads there.
func (r *request) serviceIn(table *routing.Table, route *routing.Route) *routing.Service {
	service := &table.Services[route.Pick(hashAttemptID(r.meta.AttemptID))]
	for _, split := range route.Split {
		if name := table.Services[split.Service].Name; name == r.service.Name && split.Weight > 0 {
			service = &table.Services[split.Service]
		}
	}
	return service
}

// revoked ends a request that the newer table no longer allows: by the code, unless a runner may have run it already.
func (r *request) revoked(code Code) error {
	switch {
	case r.responseStarted:
		return reject(CodeResponseCut)
	case r.sentAttempts > 0 && !r.chart.notExecuted:
		return reject(CodeRunnerLost)
	}
	return reject(code)
}
