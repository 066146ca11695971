package balance

import (
	"math"
	"time"

	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// candidate is a runner that could be sent a request, as one choice sees it.
type candidate struct {
	runner  *Runner
	id      string
	ready   bool    // as its heartbeats say
	ejected bool    // chosen only as a last resort
	wait    float64 // cost without the prefill of the request's own prompt, in milliseconds
	rate    float64 // prefill rate, in prompt tokens a millisecond
}

// Choose picks the runner that is expected to answer first and counts the request as sent to it. Nil:
// there is none that may be sent anything.
func (b *Balancer) Choose(request Request) *Attempt {
	now := time.Now()
	candidates := b.candidates(request, now)
	key, shared := affinity(request.Parts)
	first, home := rendezvous(candidates, key)
	held := b.cache.Match(request.Parts)
	context := b.session(&request, key, shared)
	expected := first
	if context.id != 0 {
		expected = context.presumedHolder(candidates, first)
		if context.affinityTarget = home; len(request.Tried) > 0 {
			context.affinityTarget = b.affinityTarget(request.Service, request.Model, key)
		}
	}
	var best *Runner
	bestCost, bestRead, equals := math.Inf(1), 0, 0
	for i := range candidates {
		c := &candidates[i]
		kept := held[c.runner.Index]
		if c.runner == expected || context.isHeldBy(c.id) {
			kept = max(kept, shared)
		}
		read := max(0, request.Input-kept)
		cost := c.wait + float64(read)/c.rate + rereadCostMsPerToken*float64(max(0, shared-kept))
		if c.ejected {
			cost += ejectedCostMs
		}
		switch {
		case cost < bestCost:
			equals = 1
		case cost == bestCost:
			equals++
		default:
			continue
		}
		// Each of several equals is as likely as the others, so that routers do not all choose the same runner.
		if equals == 1 || hashing.Mix(b.turn.Add(1))%uint64(equals) == 0 {
			best, bestCost, bestRead = c.runner, cost, read
		}
	}
	if best == nil {
		return nil
	}
	b.cache.Record(request.Parts, best.Index)
	attempt := best.begin(bestRead, now)
	attempt.balancer, attempt.context = b, context
	return attempt
}

// candidates are the runners that a request could be sent to.
func (b *Balancer) candidates(request Request, now time.Time) []candidate {
	runners := b.Runners(request.Service)
	out := make([]candidate, 0, len(runners))
	lowLatency := b.lowLatencyNow(now)
	for _, runner := range runners {
		if request.Tried[runner.Index] {
			continue
		}
		runner.mu.Lock()
		if usable, ejected := runner.usable(request.Model, now); usable {
			wait := runner.waitCost(request, b.zone, now) + runner.eventGapCost(request, lowLatency)
			out = append(out, candidate{runner: runner, id: runner.info.ID, ready: runner.info.State == routing.RunnerReady,
				ejected: ejected, wait: wait, rate: runner.prefillRate()})
		}
		runner.mu.Unlock()
	}
	return out
}
