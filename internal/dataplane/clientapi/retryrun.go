package clientapi

import (
	"errors"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/runloop"
)

// continueStream makes second runs in place of a lost one, as far as the traffic class allows them, and ends the
// stream.
func (e *exchange) continueStream(err error) error {
	resumable := e.resumable
	defer resumable.cancel(nil)
	defer func() {
		if resumable.clientGoneTimer != nil {
			resumable.clientGoneTimer.Stop()
		}
	}()
	for runnerWasLost(err) {
		made, next := e.retryRun()
		if !made {
			break
		}
		// What the first run ended in says more than why there is no second one.
		if rejection := rejectionOf(next); rejection.Status != 0 && !rejection.OutcomeUnknown {
			break
		}
		err = next
	}
	if err == nil || resumable.stored == nil {
		return err
	}
	rejection := rejectionOf(err)
	if rejection != errTakenOver {
		// Where another router serves the stream now, the connection breaks without an event, and the client asks for
		// the rest by its number.
		if e.server.Streams.Close(resumable.ctx, resumable.stored, string(rejection.Code)) == nil {
			resumable.write(errorEvent(rejection.Code, rejection.Message, resumable.id))
		}
	}
	e.abortConnection = true
	return &Rejection{Code: rejection.Code, OutcomeUnknown: true}
}

// rejectionOf is the rejection that an error carries, or "internal" where it is none.
func rejectionOf(err error) *Rejection {
	rejection := &Rejection{Code: CodeInternal}
	errors.As(err, &rejection)
	return rejection
}

// runnerWasLost reports whether a run ended by the runner's loss, so that a second one may take its place.
func runnerWasLost(err error) bool {
	return slices.Contains([]Code{CodeRunnerLost, CodeRunnerStalled, CodeRouterLost}, rejectionOf(err).Code)
}

// retryRun makes a second run: a request of its own, with its own log record, units and runner, that obeys the
// config in force. made is false where none may be made; err is what the run ended with.
func (e *exchange) retryRun() (made bool, err error) {
	again := *e
	if again.applyConfig(e.server.Cluster.Config()) != nil || !again.class.RepeatLostStreams {
		return false, nil
	}
	if stored := again.resumable.stored; stored != nil {
		if _, ok := stored.Replayable(); !ok {
			return false, nil
		}
	}
	if !again.awaitRetryBudget() {
		return false, nil
	}
	again.request, again.isRetry, again.reservedUnits = request.New(), true, 0
	again.request.Tenant, again.request.Lane = e.request.Tenant, again.class.Name
	_ = e.request.Advance(request.Failed, "a second run follows: "+again.request.ID)
	return true, again.serveRetry("second run of " + again.resumable.id)
}

// awaitRetryBudget waits until a retry may be made, for as long as the request would wait for a runner: where a router
// fails, many streams want one at once, and first attempts earn more every moment.
func (e *exchange) awaitRetryBudget() bool {
	for until := time.Now().Add(e.class.QueueTimeout); ; {
		if !slices.ContainsFunc(e.eligibleRunners(), func(instance *runner.Instance) bool { return !e.attemptedRunners[instance.Index] }) {
			return false // nowhere else to run
		}
		if e.server.Retries.Allow(e.config.Services[e.pool.Service]) {
			return true
		}
		if time.Now().After(until) || !runloop.Sleep(e.resumable.ctx, retryBudgetPoll) {
			return false
		}
	}
}

// retryBudgetPoll is how often a second run asks whether it may be made.
const retryBudgetPoll = 100 * time.Millisecond

// serveRetry takes a second run through all steps after the reading of its body.
func (e *exchange) serveRetry(note string) error {
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

// InFlight counts the requests in flight.
func (s *Server) InFlight() int { return int(s.open.Load()) }
