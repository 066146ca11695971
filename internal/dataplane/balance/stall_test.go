package balance

import (
	"testing"
	"testing/synctest"
	"time"
)

// A service whose runners speak often: one that says nothing is found out soon. A service whose runners read long prompts
// for other routers: one that keeps silent for as long as others lately did is no silent one.
func TestStallTimeoutFollowsTheService(t *testing.T) {
	for _, c := range []struct {
		name   string
		usual  time.Duration // between two words of a runner
		stands time.Duration // a silence that says nothing
		gone   time.Duration // one that does
	}{
		{"speaks often", 50 * time.Millisecond, 350 * time.Millisecond, 450 * time.Millisecond},
		{"reads for others", 900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := balancerOf(readyRunners(2))
				for range 40 * time.Second / c.usual {
					usual := sendTo(b, "life-0", Request{Service: "s"})
					time.Sleep(c.usual)
					usual.Progress()
					usual.Cancel()
				}
				stuck := sendTo(b, "life-1", Request{Service: "s"})
				time.Sleep(c.stands)
				if stuck.Runner().Stalled() {
					t.Errorf("silent after %s", c.stands)
				}
				time.Sleep(c.gone - c.stands)
				if !stuck.Runner().Stalled() {
					t.Errorf("not silent after %s", c.gone)
				}
			})
		})
	}
}

// A runner that goes on after it was taken for silent teaches more patience.
func TestFalseAlarmRaisesStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(1))
		late := sendTo(b, "life-0", Request{Service: "s"})
		given := sendTo(b, "life-0", Request{Service: "s"})
		time.Sleep(2 * time.Second)
		given.Failed()
		late.Progress()
		if most := late.Runner().stats.stalls.longestGap(time.Now()); most != 2*time.Second {
			t.Errorf("the longest silence seen is %s, 2s expected", most)
		}
	})
}
