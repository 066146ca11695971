package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// outcomeKind says what became of one attempt.
type attemptOutcome int

const (
	outcomeEnded        attemptOutcome = iota // the client has its whole answer, or the request ended for another reason
	outcomeNotSent                            // no byte left
	outcomeNotExecuted                        // the runner promised that it did not run the request
	outcomeUnknown                            // it may have run, and its answer is lost
	outcomeRetryGranted                       // it is to be repeated, and that has been granted already
	outcomeFinal                              // nothing further is to be tried
)

const (
	maxBufferedBytes  = 8 << 20                // bytes of a whole answer that is held before it is passed on
	deadlineGrace     = 150 * time.Millisecond // for a runner's own word that the deadline has passed
	maxDiscardedBytes = 64 << 10               // bytes of an unwanted answer that are read to keep its connection
)

// attempt sends the request to one runner and carries its answer.
func (r *request) attempt(stream *streamResponse) (attemptOutcome, error) {
	chosen := r.chooseRunner()
	if chosen == nil {
		return outcomeFinal, r.noRunner()
	}
	if err := r.progress.advance(Selected); err != nil {
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
	r.markSent()
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
	if err := r.progress.advance(Responding); err != nil {
		exchange.Abort()
		chosen.Cancel()
		return outcomeFinal, err
	}
	if stream != nil && head.Status == http.StatusOK && isEventStream(head.Header) {
		return stream.forward(chosen, exchange, head)
	}
	return r.forwardBuffered(chosen, exchange, head, stream)
}

// mayBeTakenUp tells, before an attempt, whether the stream could go on at another runner if it is ended: a runner's silence
// is no reason to end the last attempt that a request has.
func (r *request) mayBeResumed() bool {
	return r.route.Idempotent() && r.sentAttempts+1 < r.route.MaxAttempts
}

// noRunner says why the request ends for want of a runner.
func (r *request) noRunner() error {
	if r.sentAttempts > 0 && !r.progress.notExecuted {
		return failRunnerLost
	}
	return rejectNoRunner
}

func isEventStream(header http.Header) bool {
	kind, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return kind == "text/event-stream"
}

// isMine reports whether an answer belongs to this request rather than to an earlier one on its connection.
func (r *request) isOwnResponse(status int, header http.Header) bool {
	id := r.gateway.Dialect.ReadResponse(status, header).AttemptID
	return id == "" || r.meta.AttemptID == "" || id == r.meta.AttemptID
}

// send hands the request to the runner.
func (r *request) send(ctx context.Context, chosen *balance.Attempt, stream *streamResponse) (*upstream.Exchange, error) {
	info := chosen.Runner().Info()
	meta := RunnerMeta{RunnerID: info.ID, Deadline: r.remaining(), Urgency: r.urgency()}
	if r.tenant != nil {
		meta.Tenant = r.tenant.Name
	}
	if stream != nil {
		meta.LastEventID = stream.lastID
	}
	header := r.client.Header.Clone()
	r.gateway.Dialect.WriteRunner(header, meta)
	r.gateway.Pool.SetMax(info.Address, r.connectionShare())
	return r.gateway.Pool.Send(ctx, info.Address, upstream.Request{Method: r.client.Method, Target: r.client.RequestURI,
		Host: r.client.Host, Header: header, Body: r.body})
}

// connectionShare is this router's part of the connections that a runner takes, with a little kept free
// for routers that have just started.
func (r *request) connectionShare() int {
	if r.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, r.gateway.LocalShare(r.service.MaxConnections*9/10))
}

// sendFailed judges an attempt whose request did not leave whole.
func (r *request) sendFailed(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	var failure *upstream.SendError
	if errors.As(err, &failure) && !failure.Sent {
		r.tried[chosen.Runner().Index] = true
		switch {
		case r.client.Context().Err() != nil:
			chosen.Cancel()
			return outcomeFinal, failClientLeft
		case errors.Is(err, upstream.ErrNoConnection):
			chosen.Refused()
		default:
			chosen.Failed()
		}
		if err := r.progress.advance(Admitted); err != nil {
			return outcomeFinal, err
		}
		return outcomeNotSent, rejectNoRunner
	}
	r.markSent()
	return r.responseLost(chosen, err)
}

// leave notes that bytes have left for a runner.
func (r *request) markSent() {
	r.sentAttempts++
	r.spendQuota()
	r.progress.advance(Sent)
}

// lost judges an attempt whose answer is lost.
func (r *request) responseLost(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	r.tried[chosen.Runner().Index] = true
	r.outcomeUnknown = true
	switch {
	case r.client.Context().Err() != nil:
		chosen.Abandon()
		return outcomeFinal, failClientLeft
	case r.remaining() <= 0:
		chosen.Abandon()
		return outcomeFinal, failDeadline
	}
	chosen.Failed()
	r.gateway.Log.Debug("A runner lost a request.", "peer", chosen.Runner().Info().Address, "error", err.Error())
	return outcomeUnknown, failRunnerLost
}

// turnedAway judges an attempt that the runner promised not to have run.
func (r *request) rejectedByRunner(chosen *balance.Attempt, exchange *upstream.Exchange, meta ResponseMeta) (attemptOutcome, error) {
	r.tried[chosen.Runner().Index] = true
	if meta.OtherRunner {
		r.gateway.Balancer.Misplaced(chosen.Runner())
		chosen.Cancel()
	} else {
		chosen.Refused()
	}
	r.progress.notExecuted = true
	discard(exchange)
	return outcomeNotExecuted, rejectRunnersFull
}

// discard reads a short answer away so that its connection can be used again.
func discard(exchange *upstream.Exchange) {
	io.Copy(io.Discard, io.LimitReader(exchange.Body, maxDiscardedBytes))
	exchange.Finish()
}

// carryWhole reads an answer to its framed end before a byte of it is handed over.
func (r *request) forwardBuffered(chosen *balance.Attempt, exchange *upstream.Exchange, head upstream.Head, stream *streamResponse) (attemptOutcome, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxBufferedBytes+1))
	if err != nil || len(body) > maxBufferedBytes || !head.Framed {
		exchange.Abort()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.responseLost(chosen, err)
	}
	exchange.Finish()
	if head.Status >= http.StatusInternalServerError {
		chosen.Failed()
		r.tried[chosen.Runner().Index] = true
		r.outcomeUnknown = true
		if r.mayRetry(outcomeUnknown) {
			return outcomeRetryGranted, nil
		}
	} else {
		chosen.Progress()
		chosen.Done()
	}
	if stream != nil && stream.started() {
		return outcomeFinal, failResponseCut // the answer's head is out already: this cannot carry it on
	}
	if err := r.progress.advance(Completed); err != nil {
		return outcomeFinal, err
	}
	copyHeader(r.writer.Header(), head.Header)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
	if r.client.Method != http.MethodHead {
		r.writer.Write(body)
	}
	return outcomeEnded, nil
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

// copyHeader copies a runner's headers for the client, but for those that concern one connection only.
func copyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, value := range from.Values("Connection") {
		named[http.CanonicalHeaderKey(value)] = true
	}
	for key, values := range from {
		if !connectionHeaders[key] && !named[key] {
			to[key] = values
		}
	}
}
