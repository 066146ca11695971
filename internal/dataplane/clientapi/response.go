package clientapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/faultinjection"
)

// send sends the request to one runner and forwards its response. maybeSent reports whether a byte of the request may have
// been sent: only if it is false may the request be sent again.
func (e *exchange) send(slot *runner.Slot) (maybeSent bool, err error) {
	completed := false
	ctx, cancel := e.runContext()
	defer func() {
		cancel(nil)
		if received := slot.Release(completed); completed && received > 0 {
			e.server.Scheduler.Lengths.Add(e.class.Name, e.maxTokens, received)
		}
		e.server.Scheduler.Wake()
	}()
	if e.claim == nil {
		go e.watchKey(ctx, cancel)
	}
	watchdog := time.AfterFunc(e.class.StallTimeout+e.untilFirstByte(), func() { cancel(errRunnerStalled) })
	defer watchdog.Stop()
	response, maybeSent, err := e.server.Sender.Send(ctx, slot.Address, runner.Request{Method: e.incoming.Method, Path: e.incoming.URL.RequestURI(), Header: e.incoming.Header, Body: e.body, Tenant: e.tenant.Name, ID: e.request.ID})
	if err != nil && !maybeSent {
		return false, e.notSent(ctx, slot, err)
	}
	// Until now the units were reserved, so starting their quota window only here can't exceed the quota.
	if e.reservedUnits > 0 {
		e.server.QuotaShares.For(e.tenant.Name).Commit(e.reservedUnits)
		e.reservedUnits = 0
	}
	if advanceErr := e.request.Advance(request.Sent, slot.Address); advanceErr != nil {
		return true, advanceErr
	}
	if err != nil {
		return true, e.runnerFailed(ctx, slot, err)
	}
	defer func() { _ = response.Body.Close() }()
	err = e.forwardResponse(ctx, slot, response, watchdog)
	completed = err == nil
	return true, err
}

// runContext returns the context of one run. A request that may run only once, or whose stream may be resumed, continues after
// its client has disconnected.
func (e *exchange) runContext() (context.Context, context.CancelCauseFunc) {
	switch {
	case e.resumable != nil:
		return context.WithCancelCause(e.resumable.ctx)
	case e.claim != nil:
		return context.WithCancelCause(context.WithoutCancel(e.incoming.Context()))
	}
	return context.WithCancelCause(e.incoming.Context())
}

// notSent returns the error for a request of which nothing was sent. It records a failure of the runner, unless the run was
// cancelled.
func (e *exchange) notSent(ctx context.Context, slot *runner.Slot, err error) error {
	if context.Cause(ctx) == errKeyWithdrawn {
		return &Rejection{Status: 401, Code: CodeUnknownKey, Message: "The key was withdrawn before the query was sent."}
	}
	if ctx.Err() == nil {
		slot.RecordFailure()
	}
	return err
}

// forwardResponse forwards a runner's response to the client, as a stream or buffered.
func (e *exchange) forwardResponse(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) error {
	if err := e.request.Advance(request.Responding, strconv.Itoa(response.StatusCode)); err != nil {
		return err
	}
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		slot.RecordFailure()
		return &Rejection{Status: 502, Code: CodeResponseUnframed, OutcomeUnknown: true,
			Message: "The runner's answer has neither a length nor chunks, so a whole one can't be told from a cut one."}
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case mediaType == "text/event-stream" && response.StatusCode == http.StatusOK:
		if e.resumable == nil {
			e.resumable = e.newResumableStream()
		}
		return e.forwardStream(ctx, slot, response, watchdog)
	case e.resumable != nil && e.resumable.stored != nil:
		return e.runnerFailed(ctx, slot, errNotAStream) // the rerun's response can't continue the stream
	}
	return e.forwardBuffered(ctx, slot, response, watchdog)
}

// untilFirstByte returns how long the response may take before its first byte: zero for a stream. A runner generates any other
// response completely before it sends it, assumed at the rate that the allowance assumes for a runner without measurements.
func (e *exchange) untilFirstByte() time.Duration {
	if e.wantsStream {
		return 0
	}
	return min(maxFirstByteTimeout, time.Duration(float64(e.maxTokens)/e.config.Allowance.AssumedTokensPerSecond*float64(time.Second)))
}

var (
	errRunnerStalled = errors.New("silent")
	errKeyWithdrawn  = errors.New("key withdrawn")
	errNotAStream    = errors.New("response is not an event stream")
)

// watchKey cancels a run once a new config no longer contains its key.
func (e *exchange) watchKey(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		changed := e.server.Cluster.ConfigChanged()
		if e.keyWithdrawn() {
			cancel(errKeyWithdrawn)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// keyWithdrawn reports whether the current config no longer contains the key of this request.
func (e *exchange) keyWithdrawn() bool {
	_, ok := e.findTenant(e.server.Cluster.Config())
	return !ok
}

var errKeyWithdrawnRejection = &Rejection{Status: 401, Code: CodeKeyWithdrawn, OutcomeUnknown: true, Message: "The key was withdrawn while the query ran."}

// runnerFailed returns the error for a request whose runner failed after the request was sent. It records a failure of the
// runner, unless the key was withdrawn or the client left.
func (e *exchange) runnerFailed(ctx context.Context, slot *runner.Slot, err error) error {
	if context.Cause(ctx) == errKeyWithdrawn {
		return errKeyWithdrawnRejection
	}
	if e.incoming.Context().Err() != nil && e.claim == nil && ctx.Err() != nil {
		return &Rejection{Code: CodeClientLeft, OutcomeUnknown: true}
	}
	slot.RecordFailure()
	e.attemptedRunners[slot.Index] = true
	e.server.Ctx.Log.Warn("Runner failed during a request.", "request_id", e.request.ID, "peer", slot.Address, "error", err.Error())
	if context.Cause(ctx) == errRunnerStalled {
		return &Rejection{Status: 504, Code: CodeRunnerStalled, OutcomeUnknown: true, Message: "The runner sent nothing for too long."}
	}
	return &Rejection{Status: 502, Code: CodeRunnerLost, OutcomeUnknown: !faultinjection.Disabled("unknown"), Message: "The runner broke off before its answer was whole."}
}

// copyHeader copies the runner's response headers to the client's response, and adds the router's own.
func (e *exchange) copyHeader(response *http.Response) {
	for name, values := range runner.ForwardedHeader(response.Header) {
		e.writer.Header()[name] = values
	}
	e.writer.Header().Set(runner.RequestHeader, e.request.ID)
	if e.loweredTo > 0 {
		e.writer.Header().Set(runner.OwnHeaderPrefix+"Lowered-To", strconv.Itoa(e.loweredTo))
	}
}

// forwardBuffered reads a response to its end, by Content-Length or last chunk, before it forwards any of it. So an incomplete
// response is never forwarded.
func (e *exchange) forwardBuffered(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) (err error) {
	var raw []byte
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buf)
		raw = append(raw, buf[:n]...)
		watchdog.Reset(e.class.StallTimeout)
		if n > 0 {
			slot.AddTokens(0)
		}
		if len(raw) > maxResponseBytes {
			return &Rejection{Status: 502, Code: CodeResponseTooLarge, OutcomeUnknown: true, Message: fmt.Sprintf("The runner's answer is over %d bytes.", maxResponseBytes)}
		}
	}
	if err != io.EOF && !faultinjection.Disabled("frame") {
		return e.runnerFailed(ctx, slot, err)
	}
	if !e.class.WithoutPrompt {
		n := int(gjson.GetBytes(raw, "usage.completion_tokens").Int())
		if n <= 0 || n > e.maxTokens {
			n = min(e.maxTokens, len(raw)/4) // the runner did not report usage: about four bytes per token
		}
		slot.AddTokens(n)
	}
	if response.StatusCode >= 500 {
		slot.RecordFailure()
	}
	if e.claim != nil {
		e.claim.complete(response.StatusCode, response.Header.Get("Content-Type"), raw)
	}
	if e.keyWithdrawn() {
		return errKeyWithdrawnRejection // the response is complete, but this client may no longer have it
	}
	if err := e.request.Advance(request.Done, ""); err != nil {
		return err
	}
	e.copyHeader(response)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	e.writer.WriteHeader(response.StatusCode)
	e.newClientWriter().write(raw)
	return nil
}
