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

// Guards against requests that are cut too soon where the grace period is short: they may use at least five sixths of any grace
// period, and the process still has time to leave and to exit.
func TestShutdownPlanFitsAnyGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		plan := planShutdown(grace)
		if plan.drainEnd < grace*5/6 {
			t.Errorf("grace period %s: requests are cut after %s, want at least five sixths", grace, plan.drainEnd)
		}
		if plan.cutEnd <= plan.drainEnd || plan.leaveEnd <= plan.cutEnd || plan.leaveEnd >= grace {
			t.Errorf("grace period %s: got %+v, want its times to follow each other and to end before it", grace, plan)
		}
	}
}
