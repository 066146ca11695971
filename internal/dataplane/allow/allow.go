// Package allow computes the free output allowance: the maximum output that a tenant without funds may request, which
// shrinks as the estimated wait on the eligible runners grows. See docs/allowance.md for the rule and its deviations
// from the source.
package allow

import (
	"time"

	"yarrowridge/internal/model/fleetconfig"
)

// Estimate is the expected load of one eligible runner.
type Estimate struct {
	Queued float64 // output tokens queued ahead of a new request
	Rate   float64 // measured tokens per second; 0: not measured yet
}

// EstimateWait returns the expected wait: all queued output divided by the summed rate of the runners. waiting is the output of
// requests that are queued for these runners but not yet sent to one.
func EstimateWait(rule fleetconfig.Allowance, estimates []Estimate, waiting float64) time.Duration {
	queued, rate := waiting, 0.0
	for _, estimate := range estimates {
		queued += estimate.Queued
		if estimate.Rate > 0 {
			rate += estimate.Rate
		} else {
			rate += rule.AssumedTokensPerSecond
		}
	}
	if rate <= 0 || queued <= 0 {
		return 0
	}
	seconds := queued / rate
	if seconds > 1e6 {
		seconds = 1e6
	}
	return time.Duration(seconds * float64(time.Second))
}

// Allowance returns the allowance in tokens for a wait: the ceiling up to FullUntil, the floor from FloorFrom on, and a
// linear interpolation in between.
func Allowance(rule fleetconfig.Allowance, wait time.Duration) int {
	switch {
	case wait <= rule.FullUntil:
		return rule.Ceiling
	case wait >= rule.FloorFrom:
		return rule.Floor
	}
	fraction := float64(wait-rule.FullUntil) / float64(rule.FloorFrom-rule.FullUntil)
	return rule.Ceiling - int(fraction*float64(rule.Ceiling-rule.Floor))
}

// Outcome is the result of checking a request against the allowance.
type Outcome string

// Outcomes of Decide.
const (
	Free     Outcome = "free"      // within the allowance
	Funded   Outcome = "funded"    // not limited: the tenant has funds
	Lowered  Outcome = "lowered"   // reduced to the allowance, as the client permits
	NoFunds  Outcome = "no-funds"  // rejected: over the allowance
	NoRunner Outcome = "no-runner" // rejected: over the floor, and no runner is eligible
)

// Demand is what a request asks for.
type Demand struct {
	Funded   bool
	Tokens   int  // requested output
	MayLower bool // the client permits a reduction to the allowance
}

// Decision is the result for one request. It is made once, when the request arrives.
type Decision struct {
	Outcome   Outcome
	Tokens    int // permitted output
	Allowance int // the allowance that applied
	Wait      time.Duration
}

// Decide checks a request against the allowance. estimates covers the runners that are eligible for the requested
// output length.
func Decide(rule fleetconfig.Allowance, demand Demand, estimates []Estimate, waiting float64) Decision {
	decision := Decision{Tokens: demand.Tokens, Allowance: rule.Floor}
	if len(estimates) > 0 {
		decision.Wait = EstimateWait(rule, estimates, waiting)
		decision.Allowance = Allowance(rule, decision.Wait)
	}
	switch {
	case demand.Funded:
		decision.Outcome = Funded
	case demand.Tokens <= decision.Allowance:
		decision.Outcome = Free
	case len(estimates) == 0:
		decision.Outcome = NoRunner
	case demand.MayLower && decision.Allowance > 0:
		decision.Outcome, decision.Tokens = Lowered, decision.Allowance
	default:
		decision.Outcome = NoFunds
	}
	return decision
}

// Bucket returns the size class of a token count, as a metric label.
func Bucket(n int) string {
	switch {
	case n <= 512:
		return "<=512"
	case n <= 1024:
		return "513-1024"
	case n <= 2048:
		return "1025-2048"
	case n <= 4096:
		return "2049-4096"
	}
	return ">4096"
}
