package gateway

import (
	"context"
	"errors"

	"yarrowridge/internal/dataplane/retry"
	"yarrowridge/internal/model/routing"
)

// serve makes attempts until a runner has responded or no further attempt is permitted.
//
// Invariant: once a byte of the request may have been sent to a runner, it is sent again only if its route is idempotent or
// the runner promised that it did not run it. mayRetry decides this and stateChart.advance enforces it.
func (r *request) serve() error {
	r.tried = map[int]bool{}
	r.gateway.retryBudget.RecordFirstAttempt(r.service.Name, r.retryPolicy())
	var stream *streamResponse
	if r.route.Kind == routing.Streaming {
		stream = &streamResponse{request: r, lastID: r.meta.LastEventID}
	}
	for {
		outcome, err := r.nextAttempt(stream)
		switch outcome {
		case outcomeCompleted, outcomeFinal:
			return err
		case outcomeNotSent:
			if r.remaining() <= 0 || r.hasEnded() {
				return r.finalError(err)
			}
			continue
		case outcomeNotExecuted, outcomeUnknown:
			if !stream.hasSuccessor() && !(stream.canResume() && r.mayRetry(outcome)) {
				return r.finalError(err)
			}
		case outcomeRetryGranted:
		}
		if err := r.chart.advance(Admitted); err != nil {
			return err
		}
	}
}

// nextAttempt continues the stream at the runner that has taken it over, if there is one. Otherwise it makes an attempt under the
// current routing table.
func (r *request) nextAttempt(stream *streamResponse) (attemptOutcome, error) {
	if next := stream.takeSuccessor(); next != nil {
		return r.continueAt(next, stream)
	}
	if err := r.revalidate(); err != nil {
		return outcomeFinal, err
	}
	return r.attempt(stream)
}

// retryPolicy returns this router's share of the fleet-wide retry limit.
func (r *request) retryPolicy() retry.Policy {
	bounds := r.gateway.Retries
	return retry.Policy{Ratio: bounds.Ratio, Burst: r.gateway.LocalShare(bounds.Allowance)}
}

// mayRetry reports whether the request may be sent to another runner after an attempt with the given outcome. If so, it
// takes the retry from the budget.
func (r *request) mayRetry(last attemptOutcome) bool {
	if last == outcomeUnknown && !r.route.Idempotent() {
		return false
	}
	if r.retriesLeft() <= 0 || r.remaining() <= 0 || r.hasEnded() {
		return false
	}
	if !r.hasUntriedRunner(r.tried) {
		return false
	}
	return r.gateway.retryBudget.Take(r.service.Name)
}

// hasUntriedRunner reports whether the service has a ready runner other than those tried, by Runner.Index.
func (r *request) hasUntriedRunner(tried map[int]bool) bool {
	for _, runner := range r.gateway.Balancer.Runners(r.service.Name) {
		if !tried[runner.Index] && runner.Info().State == routing.RunnerReady {
			return true
		}
	}
	return false
}

// hasEnded reports whether the client has disconnected or the shutdown has ended the request.
func (r *request) hasEnded() bool { return r.httpRequest.Context().Err() != nil }

// isEndedByShutdown reports whether the shutdown has ended the request.
func (r *request) isEndedByShutdown() bool {
	return errors.Is(context.Cause(r.httpRequest.Context()), errShutdown)
}

// finalError returns the error of a request that is not attempted again. A client's disconnect takes precedence over err.
func (r *request) finalError(err error) error {
	if r.hasEnded() && !r.isEndedByShutdown() {
		return reject(CodeClientDisconnected)
	}
	return err
}

// revalidate applies the current routing table before each attempt. The request is rejected if its key or route has been
// revoked meanwhile, and it moves to another service if its route no longer leads to the present one.
func (r *request) revalidate() error {
	if r.keyMayBeRevoked() {
		return reject(CodeKeysStale)
	}
	table := r.gateway.Table()
	if table.Revision == r.table.Revision {
		return nil
	}
	route, tenant, code := r.resolve(table)
	if code != "" {
		return r.rejectRevoked(code)
	}
	r.table, r.route, r.tenant, r.service = table, route, tenant, r.serviceFor(table, route)
	return nil
}

// isStillAllowed reports whether the current routing table allows the request as the table of its present attempt does: with the
// same route, tenant and service. It only reads the request's state.
func (r *request) isStillAllowed() bool {
	table := r.gateway.Table()
	if table.Revision == r.table.Revision {
		return true
	}
	route, _, code := r.resolve(table)
	return code == "" && route.Idempotent() && r.serviceFor(table, route).Name == r.service.Name
}

// resolve returns the request's route and tenant in a newer table, or the code with which that table rejects the request. It only
// reads the request's state.
func (r *request) resolve(table *routing.Table) (route *routing.Route, tenant *routing.Tenant, rejected Code) {
	route = table.Match(r.httpRequest.Host, r.httpRequest.URL.Path)
	if route == nil || route.Kind != r.route.Kind {
		return nil, nil, CodeNoRoute
	}
	tenant, known := tenantFor(table, route, r.meta.Key)
	if !known || tenant != nil && r.tenant != nil && tenant.Name != r.tenant.Name {
		return nil, nil, CodeUnknownKey
	}
	if (tenant == nil) != (r.tenant == nil) {
		return nil, nil, CodeNotReady
	}
	return route, tenant, ""
}

// serviceFor returns the request's service in a newer table. The service stays the same as long as the route leads there.
func (r *request) serviceFor(table *routing.Table, route *routing.Route) *routing.Service {
	service := &table.Services[route.Pick(hashAttemptID(r.meta.AttemptID))]
	for _, split := range route.Split {
		if name := table.Services[split.Service].Name; name == r.service.Name && split.Weight > 0 {
			service = &table.Services[split.Service]
		}
	}
	return service
}

// rejectRevoked returns the rejection of a request that the newer table no longer allows. It uses the given code only if
// no runner may have run the request.
func (r *request) rejectRevoked(code Code) error {
	switch {
	case r.responseStarted:
		return reject(CodeResponseTruncated)
	case r.mayHaveRun:
		return reject(CodeRunnerLost)
	}
	return reject(code)
}
