package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// attemptOutcome says what became of one attempt, and with it whether a further one is permitted.
type attemptOutcome int

// What can't be repeated is never sent again once a byte may have left: only outcomeNotSent and outcomeNotExecuted lead to
// a further attempt of a request that is not idempotent.
const (
	outcomeEnded        attemptOutcome = iota // the client has its complete response, or the request ended for another reason
	outcomeNotSent                            // no byte left
	outcomeNotExecuted                        // the runner promised that it did not run the request
	outcomeUnknown                            // it may have run, and its response is lost
	outcomeRetryGranted                       // it is idempotent, and a retry was taken out of the budget already
	outcomeFinal                              // nothing further is to be attempted
)

// deadlineGrace is how much longer than the request's deadline an attempt may take, so that a runner's own response that
// the deadline has passed still arrives.
const deadlineGrace = 150 * time.Millisecond

// attempt sends the request to one runner and forwards its response.
func (r *request) attempt(stream *streamResponse) (attemptOutcome, error) {
	chosen := r.chooseRunner()
	if chosen == nil {
		return outcomeFinal, r.noRunner()
	}
	if err := r.chart.advance(Selected); err != nil {
		chosen.Cancel()
		return outcomeFinal, err
	}
	ctx, cancel := context.WithDeadline(r.client.Context(), r.deadline.Add(deadlineGrace))
	defer cancel()
	if stream != nil {
		stream.guard = nil
		if r.mayBeResumed() {
			stream.guard = newStallGuard(chosen.Runner(), cancel)
			defer stream.guard.stop()
		}
	}
	exchange, err := r.send(ctx, chosen, stream)
	if err != nil {
		return r.sendFailed(chosen, err)
	}
	if err := r.markSent(); err != nil {
		exchange.Abort()
		chosen.Cancel()
		return outcomeFinal, err
	}
	head, err := exchange.ReadHead(r.isOwnResponse)
	if err != nil {
		exchange.Abort()
		return r.responseLost(chosen, err)
	}
	meta := r.gateway.Dialect.ReadResponse(head.Status, head.Header)
	switch {
	case meta.NotExecuted || meta.OtherRunner:
		return r.rejectedByRunner(chosen, exchange, meta)
	case head.Status/100 == 2 && !meta.Sealed:
		exchange.Abort()
		return r.responseLost(chosen, io.ErrUnexpectedEOF)
	}
	if err := r.chart.advance(Responding); err != nil {
		exchange.Abort()
		chosen.Cancel()
		return outcomeFinal, err
	}
	if stream != nil && head.Status == http.StatusOK && isEventStream(head.Header) {
		return stream.forward(chosen, exchange, head)
	}
	return r.forwardBuffered(chosen, exchange, head, stream)
}

// chooseRunner picks a runner and counts the request as sent there. Nil: there is none.
func (r *request) chooseRunner() *balance.Attempt {
	return r.gateway.Balancer.Choose(balance.Request{Service: r.service.Name, Model: r.meta.Model, Parts: promptParts(r.meta.Prefix),
		Input: r.meta.InputTokens, Output: r.meta.OutputTokens, Tried: r.tried})
}

// promptParts converts a prompt's parts for the balancer.
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

// mayBeResumed reports, before an attempt, whether the stream could go on at another runner if it is ended: a runner's
// stall is no reason to end the last attempt that a request has.
func (r *request) mayBeResumed() bool {
	return r.route.Idempotent() && r.sentAttempts+1 < r.route.MaxAttempts
}

// isOwnResponse reports whether a response belongs to this request rather than to an earlier one on its connection.
func (r *request) isOwnResponse(status int, header http.Header) bool {
	id := r.gateway.Dialect.ReadResponse(status, header).AttemptID
	return id == "" || r.meta.AttemptID == "" || id == r.meta.AttemptID
}

func isEventStream(header http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return mediaType == "text/event-stream"
}
