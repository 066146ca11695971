package balance

import (
	"math"
	"time"
)

// Weights of what the cost adds up, in milliseconds.
const (
	failureCostMs      = 400.0 // of a runner that fails each request
	rejectionCostMs    = 200.0 // of one that just said it is full
	rejectionTTL       = 150 * time.Millisecond
	crossZoneCostMs    = 1.5      // a request to another zone costs bytes between zones and a longer way
	streamCostMs       = 1.5      // for each stream under way there
	ejectedCostMs      = 100000.0 // of a runner that failed lately, is silent or on trial
	minRequestCostMs   = 4.0      // for each whole answer under way on an ordinary service
	warmupCostFraction = 0.6
	// longGapWeight is what a millisecond between events costs where more comes out than goes in: such an
	// answer is late by its pauses rather than by its first event.
	eventGapWeight = 4.0
	// restlessMs is what such an answer costs at a runner that is not one of the calm ones.
	notLowLatencyCostMs = 40.0
	// readAgainMs is what a shared token costs that the runner has to read though another one keeps it: more
	// than the time of the reading, since it takes that time from all other requests of the fleet. A session
	// of some thousand tokens leaves its runner for a wait that endangers the usual aims, not for a few
	// milliseconds.
	rereadCostMsPerToken = 0.02
)

// waitCost estimates the time to the first byte but for the reading of the request's own prompt, in
// milliseconds. The caller holds the lock.
func (r *Runner) waitCost(request Request, zone string, now time.Time) float64 {
	cost := r.decayedWait(now) + float64(r.pendingPromptTokens)/r.prefillRate()
	cost += max(r.decayedFailureShare(now), r.fleetFailureShareNow(now)) * failureCostMs
	if request.Input > 0 || r.pendingPromptTokens > 0 {
		cost += streamCostMs * float64(len(r.inFlight))
	} else {
		cost += float64(len(r.inFlight)) * max(minRequestCostMs, r.responseMs/4)
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

// pauseCost is what an answer of which more comes out than goes in is expected to suffer by its pauses, in
// milliseconds. What all routers saw goes before what this one did. The caller holds the lock.
func (r *Runner) eventGapCost(request Request, calm *lowLatencyRunners) float64 {
	switch {
	case request.Output <= request.Input:
		return 0
	case calm == nil:
		return eventGapWeight * r.eventGapMs
	case calm.ids[r.info.ID]:
		return 0
	}
	return notLowLatencyCostMs
}

// calmRunners are the runners whose streams have the shortest pauses for all routers together.
type lowLatencyRunners struct {
	ids   map[string]bool
	until time.Time
}

// Calm takes the IDs of the runners whose streams have the shortest pauses for all routers together.
func (b *Balancer) SetLowLatency(ids []string) {
	calm := &lowLatencyRunners{ids: make(map[string]bool, len(ids)), until: time.Now().Add(fleetReportTTL)}
	for _, id := range ids {
		calm.ids[id] = true
	}
	b.lowLatency.Store(calm)
}

// calmNow gives the calm runners; nil: nothing is known of them now.
func (b *Balancer) lowLatencyNow(now time.Time) *lowLatencyRunners {
	calm := b.lowLatency.Load()
	if calm == nil || len(calm.ids) == 0 || now.After(calm.until) {
		return nil
	}
	return calm
}

func decay(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}
