package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Leaving ends at its deadline where no peer answers, and leaves time for each of its two steps.
func TestLeaveEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var steps []time.Duration
		silent := func(ctx context.Context) {
			<-ctx.Done()
			steps = append(steps, time.Since(begun))
		}
		leave(t.Context(), begun.Add(800*time.Millisecond), silent, silent)
		if len(steps) != 2 || steps[0] != 400*time.Millisecond || steps[1] != 800*time.Millisecond {
			t.Errorf("the steps ended after %v", steps)
		}
	})
}
