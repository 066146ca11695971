package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// If no peer answers, leaving the fleet ends at its deadline, and the hand-over ends early enough to leave time for the
// release of the lease.
func TestLeaveFleetEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var endedAfter []time.Duration
		blocking := func(ctx context.Context) {
			<-ctx.Done()
			endedAfter = append(endedAfter, time.Since(startedAt))
		}
		leaveFleet(t.Context(), startedAt.Add(800*time.Millisecond), blocking, blocking)
		if len(endedAfter) != 2 || endedAfter[0] != 400*time.Millisecond || endedAfter[1] != 800*time.Millisecond {
			t.Errorf("got steps that ended after %v, want 400ms and 800ms", endedAfter)
		}
	})
}
