package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// step is one thing that one router did.
type step struct {
	router int
	second bool // it asks for a second attempt; else it counts a first one
}

// granted tells which steps of a history were second attempts that a budget granted.
func granted(steps []step, ratio float64, parts []int) []bool {
	budgets := make([]*Budget, len(parts))
	for i := range budgets {
		budgets[i] = New()
	}
	given := make([]bool, len(steps))
	for i, step := range steps {
		if step.second {
			given[i] = budgets[step.router].Take("desk")
			continue
		}
		budgets[step.router].RecordFirstAttempt("desk", Policy{Ratio: ratio, Burst: parts[step.router]})
	}
	return given
}

// checkWindows holds every span of a history against the ratio and the allowance.
func checkWindows(t rapid.TB, steps []step, given []bool, ratio float64, allowance int) {
	for from := range steps {
		firsts, seconds := 0, 0
		for i := from; i < len(steps); i++ {
			if given[i] {
				seconds++
			} else if !steps[i].second {
				firsts++
			}
			if most := ratio*float64(firsts) + float64(allowance); float64(seconds) > most+1e-6 {
				t.Fatalf("steps %d to %d: %d second attempts beside %d first ones, at most %g are due", from, i, seconds, firsts, most)
			}
		}
	}
}

// Whatever the routers do in whatever order, no span of the whole history has more second attempts than
// the ratio of its first attempts and the allowance that the routers' parts add up to.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 5).Draw(t, "parts")
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.5, 1}).Draw(t, "ratio")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{router: rapid.IntRange(0, len(parts)-1).Draw(t, "router"), second: rapid.Bool().Draw(t, "second")}
		}), 0, 150).Draw(t, "steps")
		allowance := 0
		for _, part := range parts {
			allowance += part
		}
		given := granted(steps, ratio, parts)
		checkWindows(t, steps, given, ratio, allowance)
	})
}

// A router that asks for a second attempt after each first one gets what its first ones earn, and no more.
func TestGreedyRouter(t *testing.T) {
	const ratio, allowance, count = 0.2, 2, 500
	var steps []step
	for range 20 { // the allowance fills
		steps = append(steps, step{})
	}
	for range count {
		steps = append(steps, step{}, step{second: true})
	}
	given := granted(steps, ratio, []int{allowance})
	checkWindows(t, steps, given, ratio, allowance)
	seconds := 0
	for _, granted := range given {
		if granted {
			seconds++
		}
	}
	if least := int(ratio*count) + allowance - 1; seconds < least {
		t.Errorf("%d second attempts were granted, at least %d were earned", seconds, least)
	}
}

// What first attempts earn can be spent to the last: ten at a ratio of a tenth are worth one.
func TestEarnedAttemptsCanBeSpent(t *testing.T) {
	budget := New()
	rule := Policy{Ratio: 0.1, Burst: 3}
	if budget.Take("desk") {
		t.Fatal("a second attempt before any was earned")
	}
	for range 10 {
		budget.RecordFirstAttempt("desk", rule)
	}
	if !budget.Take("desk") || budget.Take("desk") {
		t.Error("ten first attempts earn one second attempt")
	}
	for range 1000 {
		budget.RecordFirstAttempt("desk", rule)
	}
	for i := range 3 {
		if !budget.Take("desk") {
			t.Fatalf("second attempt %d of the three that are kept was not granted", i+1)
		}
	}
	if budget.Take("desk") {
		t.Error("more second attempts were kept than the router's part of the allowance")
	}
}

// A router whose part of the allowance has shrunk keeps no more than its new part.
func TestShrunkPart(t *testing.T) {
	budget := New()
	for range 100 {
		budget.RecordFirstAttempt("desk", Policy{Ratio: 1, Burst: 10})
	}
	budget.RecordFirstAttempt("desk", Policy{Ratio: 1, Burst: 2})
	count := 0
	for budget.Take("desk") {
		count++
	}
	if count != 2 {
		t.Errorf("%d second attempts after the part shrank to 2", count)
	}
}

// Each service has a budget of its own.
func TestServicesDoNotShare(t *testing.T) {
	budget := New()
	budget.RecordFirstAttempt("desk", Policy{Ratio: 1, Burst: 5})
	if budget.Take("yard") || !budget.Take("desk") {
		t.Error("what one service earned was spent for another")
	}
}
