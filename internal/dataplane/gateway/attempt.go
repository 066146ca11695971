package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// attemptOutcome is the result of one attempt. It determines whether another attempt is permitted.
type attemptOutcome int

// A request that is not idempotent is attempted again only after outcomeNotSent and outcomeNotExecuted, because no runner
// can have run it then.
const (
	outcomeCompleted    attemptOutcome = iota // the client has its complete response
	outcomeNotSent                            // no byte of the request was sent
	outcomeNotExecuted                        // the runner promised that it did not run the request
	outcomeUnknown                            // the runner may have run the request, and its response is lost
	outcomeRetryGranted                       // the request is idempotent, and a retry has already been taken from the budget
	outcomeFinal                              // the request ends without another attempt
)

// deadlineGrace is how long an attempt may run past the request's deadline, so that a runner's own deadline-exceeded
// response can still arrive.
const deadlineGrace = 150 * time.Millisecond

// attemptContext returns the context of an attempt.
func (r *request) attemptContext() (context.Context, context.CancelCauseFunc) {
	deadlineCtx, cancelDeadline := context.WithDeadline(r.httpRequest.Context(), r.deadline.Add(deadlineGrace))
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	return ctx, func(cause error) {
		cancel(cause)
		cancelDeadline()
	}
}

// attempt sends the request to one runner and forwards its response.
func (r *request) attempt(stream *streamResponse) (outcome attemptOutcome, err error) {
	attempt := r.chooseRunner(r.tried)
	if attempt == nil {
		return outcomeFinal, r.rejectNoRunner()
	}
	if err := r.chart.advance(Selected); err != nil {
		attempt.Cancel()
		return outcomeFinal, err
	}
	ctx, cancel := r.attemptContext()
	defer cancel(nil)
	lastID := ""
	if stream != nil {
		lastID = stream.lastID
		stream.watch(attempt, cancel, r.retriesLeft()-1)
		defer func() { stream.endWatch(outcome) }()
	}
	exchange, err := r.send(ctx, attempt, lastID, r.urgency(r.responseStarted))
	if err != nil {
		return r.handleSendError(attempt, err)
	}
	if err := r.markSent(); err != nil {
		exchange.Abort()
		attempt.Cancel()
		return outcomeFinal, err
	}
	stream.markSent()
	head, err := exchange.ReadHead(r.isOwnResponse)
	if err != nil {
		exchange.Abort()
		return r.handleResponseLost(attempt, err)
	}
	meta := r.gateway.Dialect.ReadResponse(head.Status, head.Header)
	switch {
	case meta.NotExecuted || meta.OtherRunner:
		return r.handleRunnerRejection(attempt, exchange, meta)
	case head.Status/100 == 2 && !meta.Sealed:
		exchange.Abort()
		return r.handleResponseLost(attempt, io.ErrUnexpectedEOF)
	}
	if err := r.chart.advance(Responding); err != nil {
		exchange.Abort()
		attempt.Cancel()
		return outcomeFinal, err
	}
	if stream != nil && head.Status == http.StatusOK && isEventStream(head.Header) {
		return stream.forward(attempt, exchange, head, upstream.NewEventReader(exchange.Body))
	}
	return r.forwardBuffered(attempt, exchange, head, stream)
}

// chooseRunner chooses a runner that has not been tried and counts the request as in flight there. It returns nil if no runner is available.
func (r *request) chooseRunner(tried map[int]bool) *balance.Attempt {
	return r.gateway.Balancer.Choose(balance.Request{Service: r.service.Name, Model: r.meta.Model, Parts: promptParts(r.meta.Prefix),
		Input: r.meta.InputTokens, Output: r.meta.OutputTokens, Tried: tried})
}

// promptParts converts the parts of a prompt's prefix to the balancer's type.
func promptParts(prefix []PromptPart) []balance.PromptPart {
	if len(prefix) == 0 {
		return nil
	}
	parts := make([]balance.PromptPart, len(prefix))
	for i, part := range prefix {
		parts[i] = balance.PromptPart{ID: part.ID, Tokens: part.Tokens}
	}
	return parts
}

// continueAt forwards the rest of a stream from the runner that has taken it over.
func (r *request) continueAt(next *successor, stream *streamResponse) (outcome attemptOutcome, err error) {
	defer next.cancel(nil)
	for _, state := range []State{Selected, Sent, Responding} {
		if err := r.chart.advance(state); err != nil {
			next.abandon()
			return outcomeFinal, err
		}
	}
	stream.watch(next.attempt, next.cancel, r.retriesLeft())
	defer func() { stream.endWatch(outcome) }()
	stream.markSent()
	return stream.forward(next.attempt, next.exchange, next.head, next.events)
}

// retriesLeft returns how many requests may still be sent to runners by the number of attempts that the route permits.
func (r *request) retriesLeft() int { return max(1, r.route.MaxAttempts) - r.sentAttempts }

// isOwnResponse reports whether a response belongs to this request rather than to an earlier one on the same connection.
func (r *request) isOwnResponse(status int, header http.Header) bool {
	id := r.gateway.Dialect.ReadResponse(status, header).AttemptID
	return id == "" || r.meta.AttemptID == "" || id == r.meta.AttemptID
}

func isEventStream(header http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return mediaType == "text/event-stream"
}
