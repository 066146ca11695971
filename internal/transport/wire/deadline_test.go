package wire

import (
	"context"
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// A handler's context ends at its caller's deadline, and has no deadline if the caller has none.
func TestDeadlineReachesTheHandler(t *testing.T) {
	listener := listen(t)
	deadlines := make(chan bool, 2)
	ended := make(chan error, 2)
	abandoned := make(chan struct{}) // closed after the call has failed; a response at the deadline itself could still be accepted
	handler := func(ctx context.Context, _ string, _ []byte) (msgp.Marshaler, error) {
		_, bounded := ctx.Deadline()
		deadlines <- bounded
		if bounded {
			<-ctx.Done()
			ended <- ctx.Err()
			<-abandoned
		}
		return nil, nil
	}
	go Serve(t.Context(), listener, handler)
	caller := newCaller(t, TCP{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := caller.Call(ctx, listener.Addr().String(), "test.wait", nil, nil); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("call past its deadline: got error %v, want ErrOutcomeUnknown", err)
	}
	close(abandoned)
	if bounded := <-deadlines; !bounded {
		t.Fatal("got a handler context without a deadline, want the caller's")
	}
	if err := <-ended; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got a context that ended with %v, want DeadlineExceeded", err)
	}
	if err := caller.Call(t.Context(), listener.Addr().String(), "test.wait", nil, nil); err != nil {
		t.Error(err)
	}
	if bounded := <-deadlines; bounded {
		t.Error("call without a deadline: got a handler context with one, want none")
	}
}

// earlyDeadline is a context whose end is noticed only after its deadline, as by a process that is busy.
type earlyDeadline struct {
	context.Context
	deadline time.Time
}

func (c earlyDeadline) Deadline() (time.Time, bool) { return c.deadline, true }

// An error of a handler after the call's deadline is not sent to the caller, which would take it for a rejection. The outcome
// is unknown, even if the deadline passes on the server first.
func TestHandlerErrorAfterDeadlineIsNotSent(t *testing.T) {
	handler := func(ctx context.Context, _ string, _ []byte) (msgp.Marshaler, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	// In simulated time the dial and the write take none of the call's.
	for _, lateness := range []time.Duration{0, 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			caller := newCaller(t, pipeNetwork{handler})
			const timeout = 10 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), timeout+lateness)
			defer cancel()
			if err := caller.Call(earlyDeadline{ctx, time.Now().Add(timeout)}, "server", "test.wait", nil, nil); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("deadline noticed %s late by the caller: got error %v, want ErrOutcomeUnknown", lateness, err)
			}
		})
	}
	s := &connectionServer{handler: handler, conn: nil}
	call := Frame{TimeoutMs: 1}
	call.setDeadline(time.Now())
	s.handleCall(t.Context(), &call) // a response would panic, because conn is nil
}

// A call whose deadline has passed before it reaches the handler is not executed.
func TestExpiredCallIsDropped(t *testing.T) {
	handled := 0
	s := &connectionServer{handler: func(context.Context, string, []byte) (msgp.Marshaler, error) {
		handled++
		return nil, nil
	}}
	call := Frame{TimeoutMs: 20}
	call.setDeadline(time.Now().Add(-time.Second))
	s.handleCall(t.Context(), &call)
	if handled != 0 {
		t.Errorf("got %d calls executed, want none", handled)
	}
}

func TestFrameTimeout(t *testing.T) {
	for timeout, want := range map[time.Duration]uint32{-time.Second: 1, 0: 1, time.Microsecond: 1, time.Millisecond: 1, 1500 * time.Microsecond: 2,
		4 * time.Second: 4000, 100 * 24 * time.Hour: math.MaxUint32} {
		var call Frame
		if call.setTimeout(timeout); call.TimeoutMs != want {
			t.Errorf("timeout of %s: got %d ms, want %d", timeout, call.TimeoutMs, want)
		}
	}
	var call Frame
	if call.setDeadline(time.Now()); !call.deadline.IsZero() {
		t.Errorf("without a timeout: got deadline %s, want none", call.deadline)
	}
}
