package balance

import (
	"math"
	"time"
)

// Weights of the terms in a runner's cost, in milliseconds of expected wait unless the name gives another unit.
const (
	// failureCostMs is the cost of a runner that fails every request; it scales with the failure rate.
	failureCostMs = 400.0
	// rejectionCostMs is added for rejectionTTL after a runner rejected a request for lack of capacity.
	rejectionCostMs = 200.0
	rejectionTTL    = 150 * time.Millisecond
	// crossZoneCostMs accounts for the traffic and the longer path between zones.
	crossZoneCostMs = 1.5
	// streamCostMs is added for each stream in flight at the runner.
	streamCostMs = 1.5
	// ejectedCostMs ranks an ejected runner behind all others, as a last resort.
	ejectedCostMs = 100000.0
	// minRequestCostMs is the minimum cost of each request in flight if its response is buffered and there is no prompt to
	// prefill. The cost is otherwise the moving average of the response time divided by inFlightDivisor.
	minRequestCostMs = 4.0
	inFlightDivisor  = 4
	// warmupCostFraction is the share by which the cost of a runner in slow start is increased.
	warmupCostFraction = 0.6
	// eventGapWeight is the cost of each millisecond between events if the output is longer than the input: the gaps
	// delay such a response more than its first event does.
	eventGapWeight = 4.0
	// notLowLatencyCostMs is added for such a response at a runner that is not a low-latency one.
	notLowLatencyCostMs = 40.0
	// reprefillCostMsPerToken is the cost of each shared token that a runner has to prefill although another runner has
	// it cached. It exceeds the prefill time because the prefill delays all other requests of the fleet. At this value
	// a session of some thousand tokens leaves its runner only for a wait that endangers the usual latency targets, not
	// for a few milliseconds.
	reprefillCostMsPerToken = 0.02
)

// waitCost estimates the time to the first byte without the prefill of the request's own prompt, in milliseconds. The
// caller holds r.mu.
func (r *Runner) waitCost(request Request, zone string, now time.Time) float64 {
	cost := r.decayedWait(now) + float64(r.pendingPromptTokens)/r.prefillRate()
	cost += max(r.decayedFailureRate(now), r.currentFleetFailureRate(now)) * failureCostMs
	if request.Input > 0 || r.pendingPromptTokens > 0 {
		cost += streamCostMs * float64(len(r.inFlight))
	} else {
		cost += float64(len(r.inFlight)) * max(minRequestCostMs, r.responseMs/inFlightDivisor)
	}
	if now.Sub(r.rejectedAt) < rejectionTTL {
		cost += rejectionCostMs
	}
	if r.info.Zone != zone {
		cost += crossZoneCostMs
	}
	if r.info.WarmupLeftMs > 0 {
		cost *= 1 + warmupCostFraction
	}
	return cost
}

// eventGapCost estimates the delay caused by the gaps between events if the output is longer than the input, in
// milliseconds. Fleet-wide reports take precedence over the measurements of this router. The caller holds r.mu.
func (r *Runner) eventGapCost(request Request, lowLatency *lowLatencyRunners) float64 {
	switch {
	case request.Output <= request.Input:
		return 0
	case lowLatency == nil:
		return eventGapWeight * r.eventGapMs
	case lowLatency.ids[r.info.ID]:
		return 0
	}
	return notLowLatencyCostMs
}

// decay halves value once per halfLife of age.
func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
