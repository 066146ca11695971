// Package runloop has what the goroutine that owns a component's state is made of: the loop that takes work and ticks, a
// sleep that ends with its context, and a mutex for simulated time.
package runloop

import (
	"context"
	"time"
)

// Run passes each item of work to handle, and calls tick at each interval, until ctx ends. Both run in the caller's
// goroutine, one at a time; ticks that come meanwhile count as one. With a nil channel it only ticks; with an interval of
// zero it only takes work, and tick may be nil. Which of work, a tick and the end of ctx is taken, if several are due, is
// random, so that an item may be handled after ctx has ended.
func Run[M any](ctx context.Context, work <-chan M, interval time.Duration, handle func(M), tick func()) {
	var ticks <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-work:
			handle(item)
		case <-ticks:
			tick()
		}
	}
}

// Sleep waits for a duration or until ctx ends. It reports whether it waited for all of the duration.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
