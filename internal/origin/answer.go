package origin

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

	"yarrowridge/internal/request"
	"yarrowridge/internal/runner"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/web"
)

// writeWait is how long an origin may take nothing of its answer before it counts as gone.
const writeWait = 5 * time.Second

// outlet is the origin's end of an answer. Nobody waits for an origin for longer than writeWait:
// its runner and the copy at the understudy go on without it.
type outlet struct {
	w    http.ResponseWriter
	ctl  *http.ResponseController
	gone bool
}

func (y *way) outlet() *outlet { return &outlet{w: y.w, ctl: web.Control(y.w, y.r)} }

// put hands bytes over, and tells whether the origin is still there.
func (o *outlet) put(b []byte) bool {
	for len(b) > 0 && !o.gone {
		n := min(len(b), 64<<10)
		o.ctl.SetWriteDeadline(time.Now().Add(writeWait))
		_, err := o.w.Write(b[:n])
		if err == nil {
			err = o.ctl.Flush()
		}
		o.gone = err != nil
		b = b[n:]
	}
	return !o.gone
}

// send sends the query to one runner and carries its answer. left says a byte may have left us.
func (y *way) send(e *runner.Slot) (left bool, err error) {
	ok := false
	// A query that may run only once, or whose stream may be resumed, runs on without its origin.
	ctx, end := context.WithCancelCause(y.r.Context())
	switch {
	case y.car != nil:
		ctx, end = context.WithCancelCause(y.car.life)
	case y.claim != nil:
		ctx, end = context.WithCancelCause(context.WithoutCancel(y.r.Context()))
	}
	defer func() {
		end(nil)
		if came := e.Release(ok); ok && came > 0 {
			y.f.Desk.Lengths.Add(y.lane.Name, y.tokens, came)
		}
		y.f.Desk.Wake()
	}()
	if y.claim == nil {
		go y.watch(ctx, end)
	}
	dog := time.AfterFunc(y.lane.Silence+y.quiet(), func() { end(errSilent) })
	defer dog.Stop()
	ans, left, err := y.f.Send.Send(ctx, e.Addr, runner.Request{Method: y.r.Method, Path: y.r.URL.RequestURI(), Header: y.r.Header, Body: y.body, Tenant: y.tn.Name, ID: y.q.ID})
	if err != nil && !left {
		if context.Cause(ctx) == errKey {
			return false, &Bounce{Status: 401, Code: "unknown-key", Text: "The key was withdrawn before the query was sent."}
		}
		if ctx.Err() == nil {
			e.MarkFailed()
		}
		return false, err
	}
	// The units were reserved until now, so counting their window from here only makes it longer.
	if y.cost > 0 {
		y.f.Purses.For(y.tn.Name).Spend(y.cost)
		y.cost = 0
	}
	if e := y.q.Advance(request.Sent, e.Addr); e != nil {
		return true, e
	}
	if err != nil {
		return true, y.lost(e, ctx, err)
	}
	defer ans.Body.Close()
	if err := y.q.Advance(request.Responding, strconv.Itoa(ans.StatusCode)); err != nil {
		return true, err
	}
	if ans.ContentLength < 0 && !slices.Contains(ans.TransferEncoding, "chunked") {
		e.MarkFailed()
		return true, &Bounce{Status: 502, Code: "answer-unframed", Unknown: true,
			Text: "The runner's answer has neither a length nor chunks, so a whole one can't be told from a cut one."}
	}
	t, _, _ := mime.ParseMediaType(ans.Header.Get("Content-Type"))
	switch {
	case t == "text/event-stream" && ans.StatusCode == 200:
		if y.car == nil {
			y.car = y.newCarry()
		}
		err = y.stream(ctx, e, ans, dog)
	case y.car != nil && y.car.st != nil:
		err = y.lost(e, ctx, errNoStream) // a second run that is no stream carries nothing on
	default:
		err = y.whole(ctx, e, ans, dog)
	}
	ok = err == nil
	return true, err
}

// quiet is how long the answer may take before anything of it is sent. A whole answer is made before
// it is sent, at the pace that the allowance assumes of a runner it knows nothing about.
func (y *way) quiet() time.Duration {
	if y.streamed {
		return 0
	}
	return min(quietMost, time.Duration(float64(y.tokens)/y.lay.Allowance.Rate*float64(time.Second)))
}

var (
	errSilent   = errors.New("silent")
	errKey      = errors.New("key withdrawn")
	errNoStream = errors.New("the answer is no stream")
)

// watch ends what runs under a key that a new layout no longer knows.
func (y *way) watch(ctx context.Context, end context.CancelCauseFunc) {
	for {
		turn := y.f.Hub.Turn()
		if y.withdrawn() {
			end(errKey)
			return
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return
		}
	}
}

// withdrawn tells whether the layout in force no longer knows the key that this query came with.
func (y *way) withdrawn() bool {
	_, ok := y.payer(y.f.Hub.Layout())
	return !ok
}

var bounceKey = &Bounce{Status: 401, Code: "key-withdrawn", Unknown: true, Text: "The key was withdrawn while the query ran."}

// lost says what became of a query whose runner broke off.
func (y *way) lost(e *runner.Slot, ctx context.Context, err error) error {
	if context.Cause(ctx) == errKey {
		return bounceKey
	}
	if y.r.Context().Err() != nil && y.claim == nil && ctx.Err() != nil {
		return &Bounce{Code: "origin-left", Unknown: true}
	}
	e.MarkFailed()
	y.skip[e.Index] = true
	y.f.Ctx.Log.Warn("Runner lost a query.", "query", y.q.ID, "peer", e.Addr, "trouble", err.Error())
	if context.Cause(ctx) == errSilent {
		return &Bounce{Status: 504, Code: "runner-silent", Unknown: true, Text: "The runner sent nothing for too long."}
	}
	return &Bounce{Status: 502, Code: "runner-lost", Unknown: !strike.Out("unknown"), Text: "The runner broke off before its answer was whole."}
}

// pass copies the runner's headers for the origin.
func (y *way) pass(ans *http.Response) {
	for k, v := range runner.ForwardedHeader(ans.Header) {
		y.w.Header()[k] = v
	}
	y.w.Header().Set(runner.RequestHeader, y.q.ID)
	if y.low > 0 {
		y.w.Header().Set(runner.OwnHeaderPrefix+"Lowered-To", strconv.Itoa(y.low))
	}
}

// whole reads the answer to its framed end before a byte of it is handed over.
func (y *way) whole(ctx context.Context, e *runner.Slot, ans *http.Response, dog *time.Timer) (err error) {
	var raw []byte
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = ans.Body.Read(buf)
		raw = append(raw, buf[:n]...)
		dog.Reset(y.lane.Silence)
		if n > 0 {
			e.AddTokens(0)
		}
		if len(raw) > answerMost {
			return &Bounce{Status: 502, Code: "answer-too-large", Unknown: true, Text: fmt.Sprintf("The runner's answer is over %d bytes.", answerMost)}
		}
	}
	if err != io.EOF && !strike.Out("frame") {
		return y.lost(e, ctx, err)
	}
	if !y.lane.Plain {
		n := int(gjson.GetBytes(raw, "usage.completion_tokens").Int())
		if n <= 0 || n > y.tokens {
			n = min(y.tokens, len(raw)/4) // the runner does not say: about four bytes a token
		}
		e.AddTokens(n)
	}
	if ans.StatusCode >= 500 {
		e.MarkFailed()
	}
	if y.claim != nil {
		y.claim.done(ans.StatusCode, ans.Header.Get("Content-Type"), raw)
	}
	if y.withdrawn() {
		return bounceKey // what became of it is known, but not for this origin
	}
	if err := y.q.Advance(request.Done, ""); err != nil {
		return err
	}
	y.pass(ans)
	y.w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	y.w.WriteHeader(ans.StatusCode)
	y.outlet().put(raw)
	return nil
}
