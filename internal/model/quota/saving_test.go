package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An acquire never gets more units than are free, and gets at least the sum of its costs if it reports none as unmet.
func TestSavingAllocatesOnlyFreeUnits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var saving Saving
		now := time.Unix(0, 0)
		const limit = 10_000
		free := limit
		for range rapid.IntRange(1, 60).Draw(rt, "acquires") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			free = min(limit, free+rapid.IntRange(0, 3000).Draw(rt, "released"))
			costs := rapid.SliceOfN(rapid.IntRange(1, 4000), 0, 5).Draw(rt, "costs")
			sum := 0
			for _, cost := range costs {
				sum += cost
			}
			units, unmet := saving.Allocate(now, free, limit, costs, sum+rapid.IntRange(0, 500).Draw(rt, "idle"))
			if units < 0 || units > free {
				rt.Fatalf("units allocated: got %d, want 0 to %d", units, free)
			}
			if !unmet && units < sum {
				rt.Fatalf("units allocated with no cost unmet: got %d, want at least %d", units, sum)
			}
			free -= units
		}
	})
}

// If large and small requests together constantly need more units than there are, each kind gets at least a quarter of them.
func TestNeitherLargeNorSmallRequestsStarve(t *testing.T) {
	var saving Saving
	now, free := time.Unix(0, 0), 0
	const limit, large, small, released = 100_000, 40_000, 300, 900
	got := map[int]int{}
	for step := range 20_000 {
		now = now.Add(2 * time.Millisecond)
		free = min(limit, free+released)
		cost, costs := small, []int{small, small, small, small} // more than becomes free in a step
		if step%5 == 0 {
			cost, costs = large, []int{large} // repeated, as by clients that retry
		}
		units, _ := saving.Allocate(now, free, limit, costs, cost*len(costs))
		free -= units
		got[cost] += units
	}
	sum := got[large] + got[small]
	if got[large] < sum/4 || got[small] < sum/4 {
		t.Errorf("units: got %d for large requests, %d for small ones, want at least %d for each", got[large], got[small], sum/4)
	}
}

// Nothing is saved for a cost above the limit.
func TestNothingSavedAboveLimit(t *testing.T) {
	var saving Saving
	now := time.Unix(0, 0)
	if units, unmet := saving.Allocate(now, 1000, 1000, []int{2000}, 2000); units != 0 || !unmet {
		t.Fatalf("a cost above the limit: got %d, %v, want 0, true", units, unmet)
	}
	if units, unmet := saving.Allocate(now, 1000, 1000, []int{900}, 900); units != 900 || unmet {
		t.Errorf("a cost within the limit: got %d, %v, want 900, false", units, unmet)
	}
}
