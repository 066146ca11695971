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
type outcomeKind int

const (
	answered   outcomeKind = iota // the client has its whole answer, or the request ended for another reason
	notSent                       // no byte left
	notRun                        // the runner promised that it did not run the request
	mayHaveRun                    // it may have run, and its answer is lost
	repeat                        // it is to be repeated, and that has been granted already
	stop                          // nothing further is to be tried
)

const (
	answerMost    = 8 << 20                // bytes of a whole answer that is held before it is passed on
	deadlineSlack = 150 * time.Millisecond // for a runner's own word that the deadline has passed
	discardMost   = 64 << 10               // bytes of an unwanted answer that are read to keep its connection
)

// attempt sends the request to one runner and carries its answer.
func (r *request) attempt(stream *streamAnswer) (outcomeKind, error) {
	chosen := r.choose()
	if chosen == nil {
		return stop, r.noRunner()
	}
	if err := r.journey.advance(Selected); err != nil {
		chosen.Cancel()
		return stop, err
	}
	ctx, cancel := context.WithDeadline(r.client.Context(), r.until.Add(deadlineSlack))
	defer cancel()
	if stream != nil {
		stream.guard = nil
		if r.mayBeTakenUp() {
			stream.guard = newSilenceGuard(chosen.Runner(), cancel)
			defer stream.guard.stop()
		}
	}
	exchange, err := r.send(ctx, chosen, stream)
	if err != nil {
		return r.sendFailed(chosen, err)
	}
	r.leave()
	head, err := exchange.ReadHead(r.isMine)
	if err != nil {
		exchange.Abort()
		return r.lost(chosen, err)
	}
	meta := r.gateway.Dialect.ReadAnswer(head.Status, head.Header)
	switch {
	case meta.NotExecuted || meta.OtherRunner:
		return r.turnedAway(chosen, exchange, meta)
	case head.Status/100 == 2 && !meta.Sealed:
		exchange.Abort()
		return r.lost(chosen, io.ErrUnexpectedEOF)
	}
	if err := r.journey.advance(Answering); err != nil {
		exchange.Abort()
		chosen.Cancel()
		return stop, err
	}
	if stream != nil && head.Status == http.StatusOK && isEventStream(head.Header) {
		return stream.carry(chosen, exchange, head)
	}
	return r.carryWhole(chosen, exchange, head, stream)
}

// mayBeTakenUp tells, before an attempt, whether the stream could go on at another runner if it is ended: a runner's silence
// is no reason to end the last attempt that a request has.
func (r *request) mayBeTakenUp() bool {
	return r.route.Repeatable() && r.sends+1 < r.route.MaxAttempts
}

// noRunner says why the request ends for want of a runner.
func (r *request) noRunner() error {
	if r.sends > 0 && !r.journey.unrun {
		return failLost
	}
	return refuseNoRunner
}

func isEventStream(header http.Header) bool {
	kind, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return kind == "text/event-stream"
}

// isMine reports whether an answer belongs to this request rather than to an earlier one on its connection.
func (r *request) isMine(status int, header http.Header) bool {
	id := r.gateway.Dialect.ReadAnswer(status, header).AttemptID
	return id == "" || r.meta.AttemptID == "" || id == r.meta.AttemptID
}

// send hands the request to the runner.
func (r *request) send(ctx context.Context, chosen *balance.Attempt, stream *streamAnswer) (*upstream.Exchange, error) {
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
	return max(1, r.gateway.Part(r.service.MaxConnections*9/10))
}

// sendFailed judges an attempt whose request did not leave whole.
func (r *request) sendFailed(chosen *balance.Attempt, err error) (outcomeKind, error) {
	var failure *upstream.SendError
	if errors.As(err, &failure) && !failure.Sent {
		r.tried[chosen.Runner().Index] = true
		switch {
		case r.client.Context().Err() != nil:
			chosen.Cancel()
			return stop, failClient
		case errors.Is(err, upstream.ErrNoConnection):
			chosen.Refused()
		default:
			chosen.Failed()
		}
		if err := r.journey.advance(Admitted); err != nil {
			return stop, err
		}
		return notSent, refuseNoRunner
	}
	r.leave()
	return r.lost(chosen, err)
}

// leave notes that bytes have left for a runner.
func (r *request) leave() {
	r.sends++
	r.spendQuota()
	r.journey.advance(Sent)
}

// lost judges an attempt whose answer is lost.
func (r *request) lost(chosen *balance.Attempt, err error) (outcomeKind, error) {
	r.tried[chosen.Runner().Index] = true
	r.ran = true
	switch {
	case r.client.Context().Err() != nil:
		chosen.Abandon()
		return stop, failClient
	case r.remaining() <= 0:
		chosen.Abandon()
		return stop, failLate
	}
	chosen.Failed()
	r.gateway.Log.Debug("A runner lost a request.", "peer", chosen.Runner().Info().Address, "error", err.Error())
	return mayHaveRun, failLost
}

// turnedAway judges an attempt that the runner promised not to have run.
func (r *request) turnedAway(chosen *balance.Attempt, exchange *upstream.Exchange, meta AnswerMeta) (outcomeKind, error) {
	r.tried[chosen.Runner().Index] = true
	if meta.OtherRunner {
		r.gateway.Balancer.Misplaced(chosen.Runner())
		chosen.Cancel()
	} else {
		chosen.Refused()
	}
	r.journey.unrun = true
	discard(exchange)
	return notRun, refuseFull
}

// discard reads a short answer away so that its connection can be used again.
func discard(exchange *upstream.Exchange) {
	io.Copy(io.Discard, io.LimitReader(exchange.Body, discardMost))
	exchange.Finish()
}

// carryWhole reads an answer to its framed end before a byte of it is handed over.
func (r *request) carryWhole(chosen *balance.Attempt, exchange *upstream.Exchange, head upstream.Head, stream *streamAnswer) (outcomeKind, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, answerMost+1))
	if err != nil || len(body) > answerMost || !head.Framed {
		exchange.Abort()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.lost(chosen, err)
	}
	exchange.Finish()
	if head.Status >= http.StatusInternalServerError {
		chosen.Failed()
		r.tried[chosen.Runner().Index] = true
		r.ran = true
		if r.mayRepeat(mayHaveRun) {
			return repeat, nil
		}
	} else {
		chosen.Progress()
		chosen.Done()
	}
	if stream != nil && stream.begun() {
		return stop, failBroken // the answer's head is out already: this cannot carry it on
	}
	if err := r.journey.advance(Done); err != nil {
		return stop, err
	}
	copyHeader(r.writer.Header(), head.Header)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.begun = true
	r.writer.WriteHeader(head.Status)
	if r.client.Method != http.MethodHead {
		r.writer.Write(body)
	}
	return answered, nil
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
