package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// successor is an attempt at another runner that is ready to continue a stream: its next event, or its end, has arrived.
type successor struct {
	attempt  *balance.Attempt
	exchange *upstream.Exchange
	head     upstream.Head
	events   *upstream.EventReader
	cancel   context.CancelCauseFunc
}

// abandon ends a successor that is not needed. It does nothing if s is nil.
func (s *successor) abandon() {
	if s == nil {
		return
	}
	s.exchange.Abort()
	s.attempt.Cancel()
	if s.cancel != nil {
		s.cancel(nil)
	}
}

// successorRequest holds what a request to open a successor depends on, as of the time when it is made.
type successorRequest struct {
	tried   map[int]bool // runners to exclude, by Runner.Index
	lastID  string       // the event after which the stream is to be resumed
	urgency int
}

// successorOutcome is what became of the request to open a successor.
type successorOutcome struct {
	runner     *balance.Runner // nil: no runner was available
	sent       bool            // a byte may have reached the runner
	mayHaveRun bool            // the runner may have run the request
}

// openSuccessor asks another runner to resume the stream, and waits for its next event. The successor is nil if that runner did
// not take the request. It only reads the request's state and may run concurrently with the request's goroutine.
func (r *request) openSuccessor(ctx context.Context, opening successorRequest) (*successor, successorOutcome) {
	attempt := r.chooseRunner(opening.tried)
	if attempt == nil {
		return nil, successorOutcome{}
	}
	outcome := successorOutcome{runner: attempt.Runner()}
	exchange, err := r.send(ctx, attempt, opening.lastID, opening.urgency)
	if err != nil {
		outcome.sent = isSent(err)
		outcome.mayHaveRun = outcome.sent
		endFailed(ctx, attempt, err)
		return nil, outcome
	}
	outcome.sent = true
	head, err := exchange.ReadHead(r.isOwnResponse)
	if err != nil {
		outcome.mayHaveRun = true
		exchange.Abort()
		endFailed(ctx, attempt, err)
		return nil, outcome
	}
	meta := r.gateway.Dialect.ReadResponse(head.Status, head.Header)
	if meta.NotExecuted || meta.OtherRunner {
		r.endRejected(attempt, exchange, meta)
		return nil, outcome
	}
	outcome.mayHaveRun = true
	events := upstream.NewEventReader(exchange.Body)
	if head.Status != http.StatusOK || !meta.Sealed || !isEventStream(head.Header) || !canContinue(events, head) {
		exchange.Abort()
		endFailed(ctx, attempt, io.ErrUnexpectedEOF)
		return nil, outcome
	}
	return &successor{attempt: attempt, exchange: exchange, head: head, events: events}, outcome
}

// canContinue waits for the next event and reports whether there is one, or the stream has ended after the last one.
func canContinue(events *upstream.EventReader, head upstream.Head) bool {
	err := events.Await()
	return err == nil || errors.Is(err, io.EOF) && head.Framed
}

// endFailed ends an attempt without a response. The runner is to blame unless ctx has ended, or the connections are used up.
func endFailed(ctx context.Context, attempt *balance.Attempt, err error) {
	switch {
	case ctx.Err() != nil:
		attempt.Abandon()
	case errors.Is(err, upstream.ErrConnectionLimit):
		attempt.Rejected()
	default:
		attempt.Failed()
	}
}

// isSent reports whether, after a failed send, a byte of the request may have reached the runner.
func isSent(err error) bool {
	var failure *upstream.SendError
	return !errors.As(err, &failure) || failure.Sent
}

// endRejected ends an attempt whose request the runner promised not to have run.
func (r *request) endRejected(attempt *balance.Attempt, exchange *upstream.Exchange, meta ResponseMeta) {
	if meta.OtherRunner {
		r.gateway.Balancer.AddressReused(attempt.Runner())
		attempt.Cancel()
	} else {
		attempt.Rejected()
	}
	discard(exchange)
}
