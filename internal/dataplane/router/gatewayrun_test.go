package router

import (
	"testing"
	"time"
)

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
