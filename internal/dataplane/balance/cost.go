package balance

import (
	"math"
	"time"
)

// Weights of what a runner's cost adds up, in milliseconds of expected wait unless the name says otherwise. The source is
// simulated days of the fleet; where docs/decisions.md has an ablation, the day's worth without the mechanism follows,
// beside the least and most of three runs with it.
const (
	// failureCostMs is what a runner costs that fails each request; one that fails a share of them costs that share.
	// Ablation of the shares that all routers pool: hearth trouble-1 0.852 (0.849-0.855), scale-2 0.770 (0.773-0.782).
	failureCostMs = 400.0
	// rejectionCostMs is what a runner costs for rejectionTTL after it rejected a request for want of capacity.
	rejectionCostMs = 200.0
	rejectionTTL    = 150 * time.Millisecond
	// crossZoneCostMs is for the bytes between zones and the longer way. Ablation: nilehaze scale-2 0.806 (0.800-0.803),
	// hearth trouble-1 0.858 (0.849-0.855), on a busy machine.
	crossZoneCostMs = 1.5
	// streamCostMs is for each stream in flight there.
	streamCostMs = 1.5
	// ejectedCostMs puts an ejected runner behind all others: it is a last resort.
	ejectedCostMs = 100000.0
	// minRequestCostMs is the least for each buffered response in flight on an ordinary service. Otherwise it is the
	// moving average of such responses over inFlightDivisor.
	minRequestCostMs = 4.0
	inFlightDivisor  = 4
	// warmupCostFraction is the fraction of its cost that a runner in slow start costs more. Ablation: grown trentvale
	// trouble-3 0.807 (0.811-0.833), hearth scale-2 0.785 (0.773-0.782).
	warmupCostFraction = 0.6
	// eventGapWeight is what a millisecond between events costs where more comes out than goes in: such a response is late
	// by its gaps rather than by its first event.
	eventGapWeight = 4.0
	// notLowLatencyCostMs is what such a response costs at a runner that is not one of the low-latency ones. Ablation:
	// grown hearth scale-1 0.900 (0.909-0.911), grown trentvale trouble-3 0.819 (0.811-0.833).
	notLowLatencyCostMs = 40.0
	// rereadCostMsPerToken is what a shared token costs that the runner has to read though another one keeps it: more
	// than the time of the reading, since it takes that time from all other requests of the fleet. A session of some
	// thousand tokens leaves its runner for a wait that endangers the usual latency targets, not for a few milliseconds.
	// Ablation: hearth trouble-1 0.840 (0.849-0.855), trentvale scale-1 0.861 (0.868-0.871).
	rereadCostMsPerToken = 0.02
)

// waitCost estimates the time to the first byte but for the prefill of the request's own prompt, in milliseconds. The
// caller holds r.mu.
func (r *Runner) waitCost(request Request, zone string, now time.Time) float64 {
	cost := r.decayedWait(now) + float64(r.pendingPromptTokens)/r.prefillRate()
	cost += max(r.decayedFailureShare(now), r.fleetFailureShareNow(now)) * failureCostMs
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

// eventGapCost is what a response of which more comes out than goes in is expected to lose by the gaps between its events,
// in milliseconds. What all routers measured goes before what this one did. The caller holds r.mu.
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

// decay halves a value for each half-life of its age.
func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
