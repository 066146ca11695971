package balance

import (
	"testing"
	"testing/synctest"
	"time"
)

// The stall timeout adapts to the gaps of the service. If its runners send data often, a stalled one is detected soon.
// If they often prefill long prompts for other routers, a gap as long as their recent ones is not a stall.
func TestStallTimeoutFollowsTheService(t *testing.T) {
	for _, c := range []struct {
		name       string
		usualGap   time.Duration // gap between events
		tolerated  time.Duration // a gap that is not a stall
		stallAfter time.Duration // a gap that is a stall
	}{
		{"short gaps", 50 * time.Millisecond, 350 * time.Millisecond, 450 * time.Millisecond},
		{"long prefill for other routers", 900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := balancerOf(readyRunners(2))
				for range 40 * time.Second / c.usualGap {
					previous := sendTo(b, "life-0", Request{Service: "s"})
					time.Sleep(c.usualGap)
					previous.Progress()
					previous.Cancel()
				}
				attempt := sendTo(b, "life-1", Request{Service: "s"})
				time.Sleep(c.tolerated)
				if attempt.Runner().Stalled() {
					t.Errorf("stalled after %s, want not stalled", c.tolerated)
				}
				time.Sleep(c.stallAfter - c.tolerated)
				if !attempt.Runner().Stalled() {
					t.Errorf("not stalled after %s, want stalled", c.stallAfter)
				}
			})
		})
	}
}

// A runner that resumes after it counted as stalled raises the stall timeout.
func TestFalseAlarmRaisesStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(1))
		late := sendTo(b, "life-0", Request{Service: "s"})
		failed := sendTo(b, "life-0", Request{Service: "s"})
		time.Sleep(2 * time.Second)
		failed.Failed()
		late.Progress()
		if longest := late.Runner().stats.stalls.longestGap(time.Now()); longest != 2*time.Second {
			t.Errorf("longest gap is %s, want 2s", longest)
		}
	})
}
