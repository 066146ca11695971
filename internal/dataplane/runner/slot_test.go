package runner

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// seated is a runner of so many places, on which requests of 100 tokens have run, n at a time, for a
// second each.
func seated(room, n int, token func(i int) int) *Instance {
	instance := &Instance{report: Report{State: "ready", Capacity: room, MaxTokens: 4096}, heardAt: time.Now(), reportedAt: time.Now()}
	var all []*Slot
	for range n {
		all = append(all, instance.Acquire(100, 0))
	}
	time.Sleep(time.Second)
	for i, slot := range all {
		slot.AddTokens(token(i))
		slot.Release(true)
	}
	return instance
}

// Where one request runs at a time the wait is the source's: all that is queued over the measured speed.
// In a batch what runs is beside the newcomer; a place that is free means no wait. Half of what is
// asked for comes here, and so counts.
func TestFeedAsSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := seated(1, 1, func(int) int { return 100 })
		instance.Acquire(400, 0)
		if ahead, rate := instance.Estimate(true); ahead != 400 || math.Abs(rate-100) > 1 {
			t.Errorf("one place: %g ahead at %g a second, 400 at 100 expected", ahead, rate)
		}
		instance = seated(4, 4, func(int) int { return 50 })
		for range 3 {
			instance.Acquire(400, 0)
		}
		if ahead, _ := instance.Estimate(false); ahead != 0 {
			t.Errorf("a place is free, and %g are ahead", ahead)
		}
		instance.Acquire(400, 0)
		if ahead, rate := instance.Estimate(true); ahead != 1600*2/5./2 || math.Abs(rate-200) > 1 {
			t.Errorf("four places: %g ahead at %g a second, %g at 200 expected", ahead, rate, 1600*2/5./2)
		}
	})
}

// The rate is that of the fill asked about: measured where it was seen, never above it for fewer, and
// between none and full growth for a fuller batch than any seen.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := seated(64, 4, func(int) int { return 50 })
		for fill, want := range map[int]float64{1: 50, 2: 100, 4: 200, 16: 400, 64: 800} {
			if got := instance.rate(fill); math.Abs(got-want) > 1 {
				t.Errorf("%d at once: %g a second, %g expected", fill, got, want)
			}
		}
		var all []*Slot
		for range 16 {
			all = append(all, instance.Acquire(1000, 0))
		}
		time.Sleep(2 * time.Second)
		for _, slot := range all {
			slot.AddTokens(40) // under way, and measured
		}
		if got := instance.rate(16); math.Abs(got-320) > 1 {
			t.Errorf("16 under way: %g a second, 320 expected", got)
		}
	})
}
