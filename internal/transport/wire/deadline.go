package wire

import (
	"context"
	"math"
	"time"
)

// setTimeout notes how long the caller still waits for the response, a millisecond at least.
func (f *Frame) setTimeout(timeout time.Duration) {
	milliseconds := (timeout + time.Millisecond - 1) / time.Millisecond
	f.TimeoutMs = uint32(min(max(milliseconds, 1), math.MaxUint32))
}

// setDeadline turns the time-out of a call that was just read into a deadline by this machine's clock. The time that the
// call was under way is not known, so that the caller gives up at this moment or sooner.
func (f *Frame) setDeadline(now time.Time) {
	if f.TimeoutMs > 0 {
		f.deadline = now.Add(time.Duration(f.TimeoutMs) * time.Millisecond)
	}
}

// withDeadline returns a context that ends when the call's caller gives up.
func (f *Frame) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, f.deadline)
}
