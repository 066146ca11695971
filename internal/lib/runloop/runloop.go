// Package runloop provides the building blocks of a goroutine that owns a component's state: a loop that handles work items
// and ticks, a sleep that ends with its context, and a mutex that works with simulated time.
package runloop

import (
	"context"
	"time"
)

// Run passes each item of work to handle and calls tick once per interval, until ctx ends. Both functions run in the
// caller's goroutine, one at a time; ticks that are due during a call are merged into one. If work is nil, Run only ticks;
// if interval is zero, it only handles work, and tick may be nil. If several of work, a tick and the end of ctx are ready,
// one is chosen at random, so an item may still be handled after ctx has ended.
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

// Sleep waits for a duration or until ctx ends. It reports whether the full duration has elapsed.
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
