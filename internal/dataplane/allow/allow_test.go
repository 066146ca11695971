package allow

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/model/fleetconfig"
)

var rule = fleetconfig.Allowance{Ceiling: 4096, Floor: 512, FullUntil: 60 * time.Second, FloorFrom: 300 * time.Second, AssumedTokensPerSecond: 10}

// The allowance at the thresholds, between them and beyond them.
func TestAllowanceThresholds(t *testing.T) {
	for seconds, want := range map[float64]int{0: 4096, 59.9: 4096, 60: 4096, 120: 3200, 180: 2304, 240: 1408, 299.999: 513, 300: 512, 301: 512, 1e6: 512} {
		if got := Allowance(rule, time.Duration(seconds*float64(time.Second))); got != want {
			t.Errorf("wait %g s: got allowance %d, want %d", seconds, got, want)
		}
	}
}

// referenceDecide implements the rule directly as the source paper states it, for comparison with Decide.
func referenceDecide(r fleetconfig.Allowance, demand Demand, estimates []Estimate, waiting float64) (Outcome, int) {
	size := r.Floor
	if len(estimates) > 0 {
		sum, rate := waiting, 0.0
		for _, estimate := range estimates {
			sum += estimate.Queued
			if estimate.Rate == 0 {
				estimate.Rate = r.AssumedTokensPerSecond
			}
			rate += estimate.Rate
		}
		wait := sum / rate
		full, low := r.FullUntil.Seconds(), r.FloorFrom.Seconds()
		size = int(math.Ceil(float64(r.Ceiling) - (wait-full)/(low-full)*float64(r.Ceiling-r.Floor)))
		size = min(max(size, r.Floor), r.Ceiling)
	}
	switch {
	case demand.Funded:
		return Funded, demand.Tokens
	case demand.Tokens <= size:
		return Free, demand.Tokens
	case len(estimates) == 0:
		return NoRunner, demand.Tokens
	case demand.MayLower:
		return Lowered, size
	}
	return NoFunds, demand.Tokens
}

// Decide agrees with the reference implementation for any rule, set of runners and request.
func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(1, 2000).Draw(t, "floor")
		r := fleetconfig.Allowance{Floor: floor, Ceiling: floor + rapid.IntRange(0, 8000).Draw(t, "above"),
			FullUntil: time.Duration(rapid.IntRange(0, 200).Draw(t, "full")) * time.Second, AssumedTokensPerSecond: 10}
		r.FloorFrom = r.FullUntil + time.Duration(rapid.IntRange(1, 500).Draw(t, "low"))*time.Second
		estimates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Estimate {
			estimate := Estimate{Queued: float64(rapid.IntRange(0, 50000).Draw(t, "queued"))}
			if rapid.Bool().Draw(t, "measured") {
				estimate.Rate = float64(rapid.IntRange(1, 300).Draw(t, "rate"))
			}
			return estimate
		}), 0, 6).Draw(t, "feeds")
		demand := Demand{Funded: rapid.Bool().Draw(t, "funded"), MayLower: rapid.Bool().Draw(t, "lower"), Tokens: rapid.IntRange(1, 16384).Draw(t, "tokens")}
		waiting := float64(rapid.IntRange(0, 20000).Draw(t, "waiting"))
		got := Decide(r, demand, estimates, waiting)
		out, tokens := referenceDecide(r, demand, estimates, waiting)
		// Rounding the wait to nanoseconds may change the allowance by one token, so a request at the limit may get
		// either outcome.
		if got.Outcome != out && math.Abs(float64(got.Allowance-demand.Tokens)) > 1 {
			t.Fatalf("got outcome %s, want %s (allowance %d)", got.Outcome, out, got.Allowance)
		}
		if got.Outcome == out && math.Abs(float64(got.Tokens-tokens)) > 1 {
			t.Fatalf("got %d tokens, want %d", got.Tokens, tokens)
		}
		if got.Outcome != Lowered && got.Tokens != demand.Tokens {
			t.Fatalf("tokens changed from %d to %d, but the outcome is not lowered", demand.Tokens, got.Tokens)
		}
	})
}

// More queued output never raises the allowance; a higher rate never lowers it.
func TestAllowanceIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := float64(rapid.IntRange(0, 100000).Draw(t, "queued"))
		v := float64(rapid.IntRange(1, 500).Draw(t, "rate"))
		more := float64(rapid.IntRange(0, 100000).Draw(t, "more"))
		at := func(q, v float64) int { return Decide(rule, Demand{Tokens: 1}, []Estimate{{q, v}}, 0).Allowance }
		if at(q+more, v) > at(q, v) || at(q, v+more) < at(q, v) {
			t.Fatalf("queued %g rate %g more %g: not monotone", q, v, more)
		}
	})
}
