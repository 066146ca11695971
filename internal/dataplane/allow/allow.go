// Package allow judges the free output allowance: how much output a tenant without funds may ask for,
// sized by the estimated wait on the runners that could serve the prompt. The rule and where it
// departs from its source are told in docs/allowance.md.
package allow

import (
	"time"

	"yarrowridge/internal/model/fleetconfig"
)

// Estimate is what is known of one eligible runner at the moment of judging.
type Estimate struct {
	Queued float64 // output tokens ahead on it
	Rate   float64 // measured tokens a second; 0 where no stream has completed
}

// Wait is the queued output ahead divided by the summed rate. waiting is what stands in queues
// for these runners and is not yet on any of them.
func Wait(rule fleetconfig.Allowance, estimates []Estimate, waiting float64) time.Duration {
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

// Allowance is the allowance in tokens for a wait: the ceiling, then a straight line, then the floor.
func Allowance(rule fleetconfig.Allowance, wait time.Duration) int {
	switch {
	case wait <= rule.FullUntil:
		return rule.Ceiling
	case wait >= rule.FloorFrom:
		return rule.Floor
	}
	part := float64(wait-rule.FullUntil) / float64(rule.FloorFrom-rule.FullUntil)
	return rule.Ceiling - int(part*float64(rule.Ceiling-rule.Floor))
}

// Outcome is what became of a prompt at the allowance.
type Outcome string

// The outcomes.
const (
	Free     Outcome = "free"      // within the allowance
	Funded   Outcome = "funded"    // a tenant with funds
	Lowered  Outcome = "lowered"   // cut to the allowance, with the client's leave
	NoFunds  Outcome = "no-funds"  // over the allowance
	NoRunner Outcome = "no-runner" // over the floor, and nobody could serve it anyway
)

// Demand is what a prompt asks for.
type Demand struct {
	Funded   bool
	Tokens   int  // output asked for
	MayLower bool // the client allows lowering
}

// Decision is the decision, taken once when the prompt arrives.
type Decision struct {
	Outcome   Outcome
	Tokens    int // output it may have
	Allowance int // the allowance it was held against
	Wait      time.Duration
}

// Decide judges a prompt. estimates are of the runners eligible at the asked length.
func Decide(rule fleetconfig.Allowance, demand Demand, estimates []Estimate, waiting float64) Decision {
	verdict := Decision{Tokens: demand.Tokens, Allowance: rule.Floor}
	if len(estimates) > 0 {
		verdict.Wait = Wait(rule, estimates, waiting)
		verdict.Allowance = Allowance(rule, verdict.Wait)
	}
	switch {
	case demand.Funded:
		verdict.Outcome = Funded
	case demand.Tokens <= verdict.Allowance:
		verdict.Outcome = Free
	case len(estimates) == 0:
		verdict.Outcome = NoRunner
	case demand.MayLower && verdict.Allowance > 0:
		verdict.Outcome, verdict.Tokens = Lowered, verdict.Allowance
	default:
		verdict.Outcome = NoFunds
	}
	return verdict
}

// Bucket names the size class of a token count.
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
