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

// send sends the request to one runner and carries its response. left says a byte may have left us.
func (x *exchange) send(slot *runner.Slot) (left bool, err error) {
	answered := false
	ctx, cancel := x.runContext()
	defer func() {
		cancel(nil)
		if received := slot.Release(answered); answered && received > 0 {
			x.server.Scheduler.Lengths.Add(x.lane.Name, x.maxTokens, received)
		}
		x.server.Scheduler.Wake()
	}()
	if x.claim == nil {
		go x.watchKey(ctx, cancel)
	}
	watchdog := time.AfterFunc(x.lane.StallTimeout+x.silentFor(), func() { cancel(errRunnerSilent) })
	defer watchdog.Stop()
	response, left, err := x.server.Sender.Send(ctx, slot.Address, runner.Request{Method: x.incoming.Method, Path: x.incoming.URL.RequestURI(), Header: x.incoming.Header, Body: x.body, Tenant: x.tenant.Name, ID: x.request.ID})
	if err != nil && !left {
		return false, x.unsent(ctx, slot, err)
	}
	// The units were reserved until now, so counting their window from here only makes it longer.
	if x.reservedUnits > 0 {
		x.server.QuotaShares.For(x.tenant.Name).Commit(x.reservedUnits)
		x.reservedUnits = 0
	}
	if advanced := x.request.Advance(request.Sent, slot.Address); advanced != nil {
		return true, advanced
	}
	if err != nil {
		return true, x.runnerLost(slot, ctx, err)
	}
	defer response.Body.Close()
	err = x.sendResponse(ctx, slot, response, watchdog)
	answered = err == nil
	return true, err
}

// runContext is the context of one run. A request that may run only once, or whose stream may be resumed,
// runs on without its client.
func (x *exchange) runContext() (context.Context, context.CancelCauseFunc) {
	switch {
	case x.carrier != nil:
		return context.WithCancelCause(x.carrier.ctx)
	case x.claim != nil:
		return context.WithCancelCause(context.WithoutCancel(x.incoming.Context()))
	}
	return context.WithCancelCause(x.incoming.Context())
}

// unsent says why a request did not leave us.
func (x *exchange) unsent(ctx context.Context, slot *runner.Slot, err error) error {
	if context.Cause(ctx) == errKeyWithdrawn {
		return &Rejection{Status: 401, Code: "unknown-key", Message: "The key was withdrawn before the query was sent."}
	}
	if ctx.Err() == nil {
		slot.RecordFailure()
	}
	return err
}

// sendResponse carries a runner's response to the client, as a stream or whole.
func (x *exchange) sendResponse(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) error {
	if err := x.request.Advance(request.Responding, strconv.Itoa(response.StatusCode)); err != nil {
		return err
	}
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		slot.RecordFailure()
		return &Rejection{Status: 502, Code: "answer-unframed", OutcomeUnknown: true,
			Message: "The runner's answer has neither a length nor chunks, so a whole one can't be told from a cut one."}
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case mediaType == "text/event-stream" && response.StatusCode == http.StatusOK:
		if x.carrier == nil {
			x.carrier = x.newCarrier()
		}
		return x.sendStream(ctx, slot, response, watchdog)
	case x.carrier != nil && x.carrier.stream != nil:
		return x.runnerLost(slot, ctx, errNoStream) // a second run that is no stream carries nothing on
	}
	return x.sendWhole(ctx, slot, response, watchdog)
}

// silentFor is how long the response may take before anything of it is sent. A whole response is made before
// it is sent, at the pace that the allowance assumes of a runner it knows nothing about.
func (x *exchange) silentFor() time.Duration {
	if x.wantsStream {
		return 0
	}
	return min(maxSilence, time.Duration(float64(x.maxTokens)/x.config.Allowance.AssumedTokensPerSecond*float64(time.Second)))
}

var (
	errRunnerSilent = errors.New("silent")
	errKeyWithdrawn = errors.New("key withdrawn")
	errNoStream     = errors.New("the answer is no stream")
)

// watchKey ends what runs under a key that a new config no longer knows.
func (x *exchange) watchKey(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		changed := x.server.Cluster.ConfigChanged()
		if x.keyWithdrawn() {
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
func (x *exchange) keyWithdrawn() bool {
	_, ok := x.findTenant(x.server.Cluster.Config())
	return !ok
}

var rejectKey = &Rejection{Status: 401, Code: "key-withdrawn", OutcomeUnknown: true, Message: "The key was withdrawn while the query ran."}

// runnerLost says what became of a request whose runner broke off.
func (x *exchange) runnerLost(slot *runner.Slot, ctx context.Context, err error) error {
	if context.Cause(ctx) == errKeyWithdrawn {
		return rejectKey
	}
	if x.incoming.Context().Err() != nil && x.claim == nil && ctx.Err() != nil {
		return &Rejection{Code: "origin-left", OutcomeUnknown: true}
	}
	slot.RecordFailure()
	x.triedRunners[slot.Index] = true
	x.server.Ctx.Log.Warn("Runner lost a query.", "query", x.request.ID, "peer", slot.Address, "error", err.Error())
	if context.Cause(ctx) == errRunnerSilent {
		return &Rejection{Status: 504, Code: "runner-silent", OutcomeUnknown: true, Message: "The runner sent nothing for too long."}
	}
	return &Rejection{Status: 502, Code: "runner-lost", OutcomeUnknown: !faultinjection.Disabled("unknown"), Message: "The runner broke off before its answer was whole."}
}

// copyHeader copies the runner's headers for the client.
func (x *exchange) copyHeader(response *http.Response) {
	for name, values := range runner.ForwardedHeader(response.Header) {
		x.writer.Header()[name] = values
	}
	x.writer.Header().Set(runner.RequestHeader, x.request.ID)
	if x.loweredTo > 0 {
		x.writer.Header().Set(runner.OwnHeaderPrefix+"Lowered-To", strconv.Itoa(x.loweredTo))
	}
}

// sendWhole reads the response to its framed end before a byte of it is handed over.
func (x *exchange) sendWhole(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) (err error) {
	var raw []byte
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buf)
		raw = append(raw, buf[:n]...)
		watchdog.Reset(x.lane.StallTimeout)
		if n > 0 {
			slot.AddTokens(0)
		}
		if len(raw) > maxResponse {
			return &Rejection{Status: 502, Code: "answer-too-large", OutcomeUnknown: true, Message: fmt.Sprintf("The runner's answer is over %d bytes.", maxResponse)}
		}
	}
	if err != io.EOF && !faultinjection.Disabled("frame") {
		return x.runnerLost(slot, ctx, err)
	}
	if !x.lane.WithoutPrompt {
		n := int(gjson.GetBytes(raw, "usage.completion_tokens").Int())
		if n <= 0 || n > x.maxTokens {
			n = min(x.maxTokens, len(raw)/4) // the runner does not say: about four bytes a token
		}
		slot.AddTokens(n)
	}
	if response.StatusCode >= 500 {
		slot.RecordFailure()
	}
	if x.claim != nil {
		x.claim.complete(response.StatusCode, response.Header.Get("Content-Type"), raw)
	}
	if x.keyWithdrawn() {
		return rejectKey // what became of it is known, but not for this client
	}
	if err := x.request.Advance(request.Done, ""); err != nil {
		return err
	}
	x.copyHeader(response)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	x.writer.WriteHeader(response.StatusCode)
	x.newClientWriter().write(raw)
	return nil
}
