package clientapi

import (
	"errors"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/runloop"
)

// continueStream reruns the request of a stream whose run was lost, as often as needed and as the traffic class and the retry
// budget allow. If no run completes the stream, it ends the stream with an error event. err is how the first run ended.
func (e *exchange) continueStream(err error) error {
	resumable := e.resumable
	defer resumable.cancel(nil)
	defer func() {
		if resumable.clientGoneTimer != nil {
			resumable.clientGoneTimer.Stop()
		}
	}()
	for isRunLost(err) {
		started, rerunErr := e.rerun()
		if !started {
			break
		}
		// The rerun was rejected before it ran. The failure of the previous run says more about the stream.
		if rejection := rejectionOf(rerunErr); rejection.Status != 0 && !rejection.OutcomeUnknown {
			break
		}
		err = rerunErr
	}
	if err == nil || resumable.stored == nil {
		return err
	}
	rejection := rejectionOf(err)
	if rejection != errTakenOver {
		// If another router serves the stream now, the connection is closed without an error event, and the client resumes
		// after the last event that it has.
		if e.server.Streams.Close(resumable.ctx, resumable.stored, string(rejection.Code)) == nil {
			resumable.write(errorEvent(rejection.Code, rejection.Message, resumable.id))
		}
	}
	e.abortConnection = true
	return &Rejection{Code: rejection.Code, OutcomeUnknown: true}
}

// rejectionOf returns the Rejection in an error's chain, or one with CodeInternal if there is none.
func rejectionOf(err error) *Rejection {
	rejection := &Rejection{Code: CodeInternal}
	errors.As(err, &rejection)
	return rejection
}

// isRunLost reports whether a run ended because its runner or router was lost, so that a rerun may replace it.
func isRunLost(err error) bool {
	return slices.Contains([]Code{CodeRunnerLost, CodeRunnerStalled, CodeRouterLost}, rejectionOf(err).Code)
}

// rerun runs the request once more, under the current config, as a request with its own ID, log record, quota units and
// runner. started is false if no rerun is allowed; err is how the rerun ended.
func (e *exchange) rerun() (started bool, err error) {
	next := *e
	if next.applyConfig(e.server.Cluster.Config()) != nil || !next.class.RepeatLostStreams {
		return false, nil
	}
	if stored := next.resumable.stored; stored != nil {
		if _, ok := stored.Replayable(); !ok {
			return false, nil
		}
	}
	if !next.awaitRetryBudget() {
		return false, nil
	}
	next.request, next.isRerun, next.reservedUnits = request.New(), true, 0
	next.request.Tenant, next.request.Lane = e.request.Tenant, next.class.Name
	_ = e.request.Advance(request.Failed, "a second run follows: "+next.request.ID)
	return true, next.serveRerun("second run of " + next.resumable.id)
}

// awaitRetryBudget waits until the budget allows a retry, for at most the queue time-out, and reports whether it does. When a
// router fails, many streams need a retry at once, while first attempts earn further retries only over time.
func (e *exchange) awaitRetryBudget() bool {
	for deadline := time.Now().Add(e.class.QueueTimeout); ; {
		if !slices.ContainsFunc(e.eligibleRunners(), func(instance *runner.Instance) bool { return !e.attemptedRunners[instance.Index] }) {
			return false // every eligible runner was tried
		}
		if e.server.Retries.Allow(e.config.Services[e.pool.Service]) {
			return true
		}
		if time.Now().After(deadline) || !runloop.Sleep(e.resumable.ctx, retryBudgetPoll) {
			return false
		}
	}
}

// retryBudgetPoll is the interval at which awaitRetryBudget checks the budget.
const retryBudgetPoll = 100 * time.Millisecond

// serveRerun processes a rerun: the steps of a request after its body is parsed, without the allowance.
func (e *exchange) serveRerun(note string) error {
	err := e.request.Advance(request.Identified, note)
	if err == nil {
		err = e.request.Advance(request.Routed, e.incoming.URL.Path)
	}
	if err == nil {
		err = e.reserveUnits()
	}
	if err == nil {
		err = e.request.Advance(request.Admitted, "second run")
	}
	if err == nil {
		err = e.serve()
	}
	e.releaseUnits()
	code := "done"
	if err != nil {
		failure := rejectionOf(err).Code
		e.finishFailed(failure)
		code = string(failure)
		e.server.Log.Add(e.request, code)
	}
	e.server.Tracer.Export(e.request, code)
	e.server.Metrics.StreamReruns.WithLabelValues(e.request.Lane, code).Inc()
	return err
}

// InFlight returns how many requests of known tenants are in flight, including streams taken over from another router.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
