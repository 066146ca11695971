package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Leaving the fleet ends at its deadline where no peer answers, with time for each of its two steps.
func TestLeaveEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var steps []time.Duration
		silent := func(ctx context.Context) {
			<-ctx.Done()
			steps = append(steps, time.Since(startedAt))
		}
		leave(t.Context(), startedAt.Add(800*time.Millisecond), silent, silent)
		if len(steps) != 2 || steps[0] != 400*time.Millisecond || steps[1] != 800*time.Millisecond {
			t.Errorf("got steps that ended after %v, want 400ms and 800ms", steps)
		}
	})
}
