package balance

import (
	"math"
	"time"
)

// Weights of what the cost adds up, in milliseconds.
const (
	failureCostMs  = 400.0 // of a runner that fails each request
	fullCostMs     = 200.0 // of one that just said it is full
	fullSpan       = 150 * time.Millisecond
	otherZoneMs    = 1.5      // a request to another zone costs bytes between zones and a longer way
	decodeCostMs   = 1.5      // for each stream under way there
	lastResortMs   = 100000.0 // of a runner that failed lately, is silent or on trial
	requestCostMs  = 4.0      // for each whole answer under way on an ordinary service
	warmupCostPart = 0.6
	// longGapWeight is what a millisecond between events costs where more comes out than goes in: such an
	// answer is late by its pauses rather than by its first event.
	longGapWeight = 4.0
	// restlessMs is what such an answer costs at a runner that is not one of the calm ones.
	restlessMs = 40.0
	// readAgainMs is what a shared token costs that the runner has to read though another one keeps it: more
	// than the time of the reading, since it takes that time from all other requests of the fleet. A session
	// of some thousand tokens leaves its runner for a wait that endangers the usual aims, not for a few
	// milliseconds.
	readAgainMs = 0.02
)

// waitCost estimates the time to the first byte but for the reading of the request's own prompt, in
// milliseconds. The caller holds the lock.
func (r *Runner) waitCost(request Request, zone string, now time.Time) float64 {
	cost := r.fadedWait(now) + float64(r.promptOpen)/r.rate()
	cost += max(r.fadedFailures(now), r.failingElsewhere(now)) * failureCostMs
	if request.Input > 0 || r.promptOpen > 0 {
		cost += decodeCostMs * float64(len(r.open))
	} else {
		cost += float64(len(r.open)) * max(requestCostMs, r.serviceMs/4)
	}
	if now.Sub(r.full) < fullSpan {
		cost += fullCostMs
	}
	if r.info.Zone != zone {
		cost += otherZoneMs
	}
	if r.info.WarmupLeftMs > 0 {
		cost *= 1 + warmupCostPart
	}
	return cost
}

// pauseCost is what an answer of which more comes out than goes in is expected to suffer by its pauses, in
// milliseconds. What all routers saw goes before what this one did. The caller holds the lock.
func (r *Runner) pauseCost(request Request, calm *calmRunners) float64 {
	switch {
	case request.Output <= request.Input:
		return 0
	case calm == nil:
		return longGapWeight * r.gapMs
	case calm.ids[r.info.ID]:
		return 0
	}
	return restlessMs
}

// calmRunners are the runners whose streams have the shortest pauses for all routers together.
type calmRunners struct {
	ids   map[string]bool
	until time.Time
}

// Calm takes the IDs of the runners whose streams have the shortest pauses for all routers together.
func (b *Balancer) SetLowLatency(ids []string) {
	calm := &calmRunners{ids: make(map[string]bool, len(ids)), until: time.Now().Add(fleetFresh)}
	for _, id := range ids {
		calm.ids[id] = true
	}
	b.calm.Store(calm)
}

// calmNow gives the calm runners; nil: nothing is known of them now.
func (b *Balancer) calmNow(now time.Time) *calmRunners {
	calm := b.calm.Load()
	if calm == nil || len(calm.ids) == 0 || now.After(calm.until) {
		return nil
	}
	return calm
}

func fade(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}
