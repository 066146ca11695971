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

// send sends the request to one runner and forwards its response. left reports whether a byte may have left: only where it has not may the request be sent again.
func (e *exchange) send(slot *runner.Slot) (left bool, err error) {
	answered := false
	ctx, cancel := e.runContext()
	defer func() {
		cancel(nil)
		if received := slot.Release(answered); answered && received > 0 {
			e.server.Scheduler.Lengths.Add(e.class.Name, e.maxTokens, received)
		}
		e.server.Scheduler.Wake()
	}()
	if e.claim == nil {
		go e.watchKey(ctx, cancel)
	}
	watchdog := time.AfterFunc(e.class.StallTimeout+e.untilFirstByte(), func() { cancel(errRunnerStalled) })
	defer watchdog.Stop()
	response, left, err := e.server.Sender.Send(ctx, slot.Address, runner.Request{Method: e.incoming.Method, Path: e.incoming.URL.RequestURI(), Header: e.incoming.Header, Body: e.body, Tenant: e.tenant.Name, ID: e.request.ID})
	if err != nil && !left {
		return false, e.notSent(ctx, slot, err)
	}
	// The units were reserved until now, so counting their window from here only makes it longer.
	if e.reservedUnits > 0 {
		e.server.QuotaShares.For(e.tenant.Name).Commit(e.reservedUnits)
		e.reservedUnits = 0
	}
	if advanced := e.request.Advance(request.Sent, slot.Address); advanced != nil {
		return true, advanced
	}
	if err != nil {
		return true, e.runnerFailed(ctx, slot, err)
	}
	defer func() { _ = response.Body.Close() }()
	err = e.forwardResponse(ctx, slot, response, watchdog)
	answered = err == nil
	return true, err
}

// runContext is the context of one run. A request that may run only once, or whose stream may be resumed,
// runs on without its client.
func (e *exchange) runContext() (context.Context, context.CancelCauseFunc) {
	switch {
	case e.resumable != nil:
		return context.WithCancelCause(e.resumable.ctx)
	case e.claim != nil:
		return context.WithCancelCause(context.WithoutCancel(e.incoming.Context()))
	}
	return context.WithCancelCause(e.incoming.Context())
}

// notSent says why a request did not leave us.
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
		return e.runnerFailed(ctx, slot, errNoStream) // a retry that is no stream continues nothing
	}
	return e.forwardBuffered(ctx, slot, response, watchdog)
}

// untilFirstByte is how long the response may take before anything of it is sent. A buffered response is generated before
// it is sent, at the pace that the allowance assumes of a runner it knows nothing about.
func (e *exchange) untilFirstByte() time.Duration {
	if e.wantsStream {
		return 0
	}
	return min(maxFirstByteTimeout, time.Duration(float64(e.maxTokens)/e.config.Allowance.AssumedTokensPerSecond*float64(time.Second)))
}

var (
	errRunnerStalled = errors.New("silent")
	errKeyWithdrawn  = errors.New("key withdrawn")
	errNoStream      = errors.New("the answer is no stream")
)

// watchKey ends what runs under a key that a new config no longer knows.
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

// keyWithdrawn reports whether the config in force no longer knows the key that this request came with.
func (e *exchange) keyWithdrawn() bool {
	_, ok := e.findTenant(e.server.Cluster.Config())
	return !ok
}

var errKeyWithdrawnRejection = &Rejection{Status: 401, Code: CodeKeyWithdrawn, OutcomeUnknown: true, Message: "The key was withdrawn while the query ran."}

// runnerFailed says what became of a request whose runner broke off.
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

// copyHeader copies the runner's headers for the client.
func (e *exchange) copyHeader(response *http.Response) {
	for name, values := range runner.ForwardedHeader(response.Header) {
		e.writer.Header()[name] = values
	}
	e.writer.Header().Set(runner.RequestHeader, e.request.ID)
	if e.loweredTo > 0 {
		e.writer.Header().Set(runner.OwnHeaderPrefix+"Lowered-To", strconv.Itoa(e.loweredTo))
	}
}

// forwardBuffered reads the response to its framed end before a byte of it is forwarded.
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
			n = min(e.maxTokens, len(raw)/4) // the runner does not say: about four bytes a token
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
		return errKeyWithdrawnRejection // what became of it is known, but not for this client
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
