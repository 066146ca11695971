package clientapi

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/lib/runloop"
)

// carrier is what the runs of one stream have in common: its pieces, and the client it is shown to.
type carrier struct {
	id        string // of the stream: the first run's request
	stream    *streamstore.Stream
	client    *clientWriter   // nil where the client is to come by itself
	ctx       context.Context // of all runs
	cancel    context.CancelCauseFunc
	leftTimer *time.Timer // runs once the client is gone
}

func (x *exchange) newCarrier() *carrier {
	carrier := &carrier{id: x.request.ID, client: x.newClientWriter()}
	carrier.ctx, carrier.cancel = context.WithCancelCause(x.server.Ctx) // it runs on without its client, not without its router
	return carrier
}

// open begins the stream with its first run's headers.
func (c *carrier) open(x *exchange, response *http.Response) {
	var saved *streamstore.SavedRequest
	if x.lane.RepeatLostStreams {
		header := runner.ForwardedHeader(x.incoming.Header)
		header.Del("Authorization")
		saved = &streamstore.SavedRequest{Method: x.incoming.Method, Path: x.incoming.URL.RequestURI(), Header: header, Body: x.body, KeyHash: x.keyHash}
	}
	c.stream = x.server.Streams.Open(c.id, x.request.Tenant, saved)
	x.copyHeader(response)
	x.writer.Header().Set(runner.RequestHeader, c.id)
	x.writer.Header().Del("Content-Length") // pieces get their numbers
	x.writer.WriteHeader(http.StatusOK)
}

// write hands bytes to the client, if it is there. One that is gone may come back for a while.
func (c *carrier) write(data []byte) {
	if c.client != nil && c.leftTimer == nil && !c.client.write(data) {
		c.leftTimer = time.AfterFunc(keepForClient, func() { c.cancel(errClientLeft) })
	}
}

var (
	errDiffers = &Rejection{Status: 502, Code: "run-differs", OutcomeUnknown: true, Message: "The run was lost, and a second one was not the same."}
	errTaken   = &Rejection{Code: "taken-over", OutcomeUnknown: true}
)

// continueStream makes second runs in place of a lost one, as far as the lane allows them, and ends the
// stream.
func (x *exchange) continueStream(err error) error {
	carrier := x.carrier
	defer carrier.cancel(nil)
	defer func() {
		if carrier.leftTimer != nil {
			carrier.leftTimer.Stop()
		}
	}()
	for runnerWasLost(err) {
		next, made := x.runAgain()
		if !made {
			break
		}
		// What the first run ended in says more than why there is no second one.
		if rejection := rejectionOf(next); rejection.Status != 0 && !rejection.OutcomeUnknown {
			break
		}
		err = next
	}
	if err == nil || carrier.stream == nil {
		return err
	}
	rejection := rejectionOf(err)
	if rejection != errTaken {
		// Where another router carries the stream on, the connection breaks without a word, and the
		// client asks for the rest by its number.
		if x.server.Streams.Close(carrier.ctx, carrier.stream, rejection.Code) == nil {
			carrier.write(errorEvent(rejection.Code, rejection.Message, carrier.id))
		}
	}
	x.abortConnection = true
	return &Rejection{Code: rejection.Code, OutcomeUnknown: true}
}

// rejectionOf is the rejection that an error carries, or "internal" where it is none.
func rejectionOf(err error) *Rejection {
	rejection := &Rejection{Code: "internal"}
	errors.As(err, &rejection)
	return rejection
}

// runnerWasLost reports whether a run ended by the runner's loss, so that a second one may take its place.
func runnerWasLost(err error) bool {
	return slices.Contains([]string{"runner-lost", "runner-silent", streamstore.CodeRouterLost}, rejectionOf(err).Code)
}

// runAgain makes a second run: a request of its own, with its own log record, units and runner, that obeys the
// config in force. made is false where none may be made.
func (x *exchange) runAgain() (err error, made bool) {
	again := *x
	if again.applyConfig(x.server.Cluster.Config()) != nil || !again.lane.RepeatLostStreams {
		return nil, false
	}
	if carrier := again.carrier; carrier.stream != nil {
		if _, ok := carrier.stream.Replayable(); !ok {
			return nil, false
		}
	}
	if !again.awaitRetryBudget() {
		return nil, false
	}
	again.request, again.secondRun, again.reservedUnits = request.New(), true, 0
	again.request.Tenant, again.request.Lane = x.request.Tenant, again.lane.Name
	x.request.Advance(request.Failed, "a second run follows: "+again.request.ID)
	return again.serveAgain("second run of " + again.carrier.id), true
}

// awaitRetryBudget waits until a second try may be made, for as long as the lane would wait for a runner:
// where a router fails, many streams want one at once, and first tries earn more every moment.
func (x *exchange) awaitRetryBudget() bool {
	for until := time.Now().Add(x.lane.QueueTimeout); ; {
		if !slices.ContainsFunc(x.eligibleRunners(), func(instance *runner.Instance) bool { return !x.triedRunners[instance.Index] }) {
			return false // nowhere else to run
		}
		if x.server.Retries.Allow(x.config.Services[x.pool.Service]) {
			return true
		}
		if time.Now().After(until) || !runloop.Sleep(x.carrier.ctx, retryBudgetPoll) {
			return false
		}
	}
}

// retryBudgetPoll is how often a second run asks whether it may be made.
const retryBudgetPoll = 100 * time.Millisecond

// serveAgain takes a second run through all steps after the reading of its body.
func (x *exchange) serveAgain(note string) error {
	err := x.request.Advance(request.Known, note)
	if err == nil {
		err = x.request.Advance(request.Routed, x.incoming.URL.Path)
	}
	if err == nil {
		err = x.reserveUnits()
	}
	if err == nil {
		err = x.request.Advance(request.Admitted, "second run")
	}
	if err == nil {
		err = x.serve()
	}
	x.releaseUnits()
	code := "done"
	if err != nil {
		code = rejectionOf(err).Code
		x.finishFailed(code)
		x.server.Log.Add(x.request, code)
	}
	x.server.Tracer.Export(x.request, code)
	x.server.Metrics.StreamReruns.WithLabelValues(x.request.Lane, code).Inc()
	return err
}

// TakeOver carries a stream on whose router is gone: the same request again, from what is held of it and
// its response. Clients read it by its id.
func (s *Server) TakeOver(stream *streamstore.Stream, saved *streamstore.SavedRequest) {
	s.open.Add(1)
	defer s.open.Add(-1)
	x := &exchange{server: s, request: request.New(), body: saved.Body, bodyRead: true, keyHash: saved.KeyHash, triedRunners: map[int]bool{}}
	if err := x.restore(stream, saved); err != nil {
		s.Streams.Close(s.Ctx, stream, rejectionOf(err).Code)
		return
	}
	carrier := &carrier{id: stream.ID, stream: stream}
	carrier.ctx, carrier.cancel = context.WithCancelCause(s.Ctx)
	x.carrier = carrier
	if s.Streams.AssignStandby(carrier.ctx, stream) == nil {
		x.continueStream(&Rejection{Code: streamstore.CodeRouterLost, OutcomeUnknown: true})
	}
}

// restore brings a request that another router read to where it would be queued.
func (x *exchange) restore(stream *streamstore.Stream, saved *streamstore.SavedRequest) error {
	incoming, err := http.NewRequestWithContext(x.server.Ctx, saved.Method, saved.Path, nil)
	if err != nil {
		return &Rejection{Code: streamstore.CodeRouterLost}
	}
	incoming.Header = saved.Header
	x.incoming, x.request.Tenant = incoming, stream.Tenant
	if rejection := x.applyConfig(x.server.Cluster.Config()); rejection != nil {
		return rejection
	}
	if err := x.parseBody(); err != nil {
		return err
	}
	x.request.Lane, x.queueKind = x.lane.Name, x.pool.Name+"/"+x.model
	return nil
}

// Open counts the requests under way.
func (s *Server) Open() int { return int(s.open.Load()) }
