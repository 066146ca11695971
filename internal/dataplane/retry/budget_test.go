package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// step is one action of one router.
type step struct {
	router  int
	isRetry bool // requests a retry; otherwise records a first attempt
}

// runSteps applies the steps to the budgets of the routers, and reports which steps were granted retries.
func runSteps(steps []step, ratio float64, bursts []int) []bool {
	budgets := make([]*Budget, len(bursts))
	for i := range budgets {
		budgets[i] = New()
	}
	granted := make([]bool, len(steps))
	for i, step := range steps {
		if step.isRetry {
			granted[i] = budgets[step.router].Take("desk")
			continue
		}
		budgets[step.router].RecordFirstAttempt("desk", Policy{Ratio: ratio, Burst: bursts[step.router]})
	}
	return granted
}

// checkWindows checks every window of the steps against the ratio and the allowance.
func checkWindows(t rapid.TB, steps []step, granted []bool, ratio float64, allowance int) {
	for from := range steps {
		firstAttempts, retries := 0, 0
		for i := from; i < len(steps); i++ {
			if granted[i] {
				retries++
			} else if !steps[i].isRetry {
				firstAttempts++
			}
			if limit := ratio*float64(firstAttempts) + float64(allowance); float64(retries) > limit+1e-6 {
				t.Fatalf("steps %d to %d: %d retries for %d first attempts, want at most %g", from, i, retries, firstAttempts, limit)
			}
		}
	}
}

// Whatever the order of the routers' steps, no window has more retries than the ratio of its first attempts plus the
// allowance, which is the sum of the routers' bursts.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bursts := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 5).Draw(t, "parts")
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.5, 1}).Draw(t, "ratio")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{router: rapid.IntRange(0, len(bursts)-1).Draw(t, "router"), isRetry: rapid.Bool().Draw(t, "second")}
		}), 0, 150).Draw(t, "steps")
		allowance := 0
		for _, burst := range bursts {
			allowance += burst
		}
		granted := runSteps(steps, ratio, bursts)
		checkWindows(t, steps, granted, ratio, allowance)
	})
}

// A router that requests a retry after each first attempt gets as many as its first attempts earn, and no more.
func TestGreedyRouter(t *testing.T) {
	const ratio, allowance, count = 0.2, 2, 500
	var steps []step
	for range 20 { // fills the allowance
		steps = append(steps, step{})
	}
	for range count {
		steps = append(steps, step{}, step{isRetry: true})
	}
	granted := runSteps(steps, ratio, []int{allowance})
	checkWindows(t, steps, granted, ratio, allowance)
	retries := 0
	for _, ok := range granted {
		if ok {
			retries++
		}
	}
	if minRetries := int(ratio*count) + allowance - 1; retries < minRetries {
		t.Errorf("%d retries were granted, want at least %d", retries, minRetries)
	}
}

// Earned retries can be spent completely: ten first attempts at a ratio of 0.1 earn exactly one retry, despite
// rounding.
func TestEarnedRetriesCanBeSpent(t *testing.T) {
	budget := New()
	policy := Policy{Ratio: 0.1, Burst: 3}
	if budget.Take("desk") {
		t.Fatal("a retry was granted before any was earned")
	}
	for range 10 {
		budget.RecordFirstAttempt("desk", policy)
	}
	if !budget.Take("desk") || budget.Take("desk") {
		t.Error("ten first attempts did not earn exactly one retry")
	}
	for range 1000 {
		budget.RecordFirstAttempt("desk", policy)
	}
	for i := range 3 {
		if !budget.Take("desk") {
			t.Fatalf("retry %d of 3 was not granted", i+1)
		}
	}
	if budget.Take("desk") {
		t.Error("more retries were granted than the burst")
	}
}

// A router whose burst is reduced keeps at most the new burst.
func TestBurstReduction(t *testing.T) {
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
		t.Errorf("%d retries were granted after the burst was reduced to 2", count)
	}
}

// Each service has its own budget.
func TestServicesDoNotShare(t *testing.T) {
	budget := New()
	budget.RecordFirstAttempt("desk", Policy{Ratio: 1, Burst: 5})
	if budget.Take("yard") || !budget.Take("desk") {
		t.Error("a retry earned at one service was spent at another")
	}
}
