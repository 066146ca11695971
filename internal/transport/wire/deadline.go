package wire

import (
	"context"
	"math"
	"time"
)

// setTimeout stores the remaining time until the caller's deadline, rounded up to milliseconds and at least 1.
func (f *Frame) setTimeout(timeout time.Duration) {
	milliseconds := (timeout + time.Millisecond - 1) / time.Millisecond
	f.TimeoutMs = uint32(min(max(milliseconds, 1), math.MaxUint32))
}

// setDeadline converts the timeout of a call that was read at now into a deadline of the local clock. The call's transit
// time is unknown, so the caller may give up before this deadline, but not after it.
func (f *Frame) setDeadline(now time.Time) {
	if f.TimeoutMs > 0 {
		f.deadline = now.Add(time.Duration(f.TimeoutMs) * time.Millisecond)
	}
}

// withDeadline returns ctx bounded by the call's deadline, if it has one.
func (f *Frame) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, f.deadline)
}
