package balance

import (
	"math"
	"sync/atomic"
	"time"

	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// candidate is a runner that may receive the request, with the inputs of its cost.
type candidate struct {
	runner  *Runner
	id      string
	ready   bool    // its reported state is RunnerReady
	ejected bool    // used only as a last resort
	wait    float64 // cost without the prefill of this request's prompt, in milliseconds
	rate    float64 // prefill rate, in prompt tokens per millisecond
}

// Choose picks the runner that is expected to answer first and counts the request as in flight there. It returns nil if
// no runner may receive the request.
func (b *Balancer) Choose(request Request) *Attempt {
	now := time.Now()
	candidates := b.candidates(request, now)
	key, shared := affinity(request.Parts)
	preferred, target := rendezvous(candidates, key)
	ref := b.sessionRefFor(&request, key, shared)
	prompt := cacheEstimate{input: request.Input, shared: shared, sentTokens: b.cache.Match(request.Parts), presumed: preferred, session: &ref}
	if ref.id != 0 {
		prompt.presumed = ref.presumedRunner(candidates, preferred)
		if ref.affinityTarget = target; len(request.Tried) > 0 {
			ref.affinityTarget = b.affinityTarget(request.Service, request.Model, key)
		}
	}
	cheapest := cheapestRunner{cost: math.Inf(1)}
	for i := range candidates {
		cheapest.consider(&candidates[i], &prompt, &b.tieCounter)
	}
	if cheapest.runner == nil {
		return nil
	}
	b.cache.Record(request.Parts, cheapest.runner.Index)
	attempt := cheapest.runner.begin(cheapest.uncached, now)
	attempt.balancer, attempt.session = b, ref
	return attempt
}

// cacheEstimate estimates how much of a request's prompt each runner has in its prefix cache.
type cacheEstimate struct {
	input      int         // tokens in the whole prompt
	shared     int         // leading tokens that other requests share
	sentTokens map[int]int // leading tokens that each runner was recently sent, by Runner.Index
	presumed   *Runner     // assumed to have the shared tokens cached by rendezvous hashing alone; nil: none
	session    *sessionRef
}

// cachedTokens estimates how many prompt tokens the candidate has cached and need not prefill.
func (p *cacheEstimate) cachedTokens(c *candidate) int {
	cached := p.sentTokens[c.runner.Index]
	if c.runner == p.presumed || p.session.isCachedOn(c.id) {
		cached = max(cached, p.shared)
	}
	return cached
}

// cost returns the cost of sending the request to a candidate, in milliseconds, and the number of tokens to prefill
// there.
func (p *cacheEstimate) cost(c *candidate) (cost float64, uncached int) {
	cached := p.cachedTokens(c)
	uncached = max(0, p.input-cached)
	cost = c.wait + float64(uncached)/c.rate + reprefillCostMsPerToken*float64(max(0, p.shared-cached))
	if c.ejected {
		cost += ejectedCostMs
	}
	return cost, uncached
}

// cheapestRunner tracks the candidate with the lowest cost. Ties are broken at random with equal chances, so that
// routers with the same view do not all choose the same runner.
type cheapestRunner struct {
	runner   *Runner // nil: no candidate so far
	cost     float64
	uncached int // prompt tokens that it has to prefill
	ties     int // candidates with this cost so far
}

// consider replaces the current choice with c if c costs less, or if c ties with it and wins the draw.
func (best *cheapestRunner) consider(c *candidate, prompt *cacheEstimate, tieCounter *atomic.Uint64) {
	cost, uncached := prompt.cost(c)
	switch {
	case cost < best.cost:
		best.ties = 1
	case cost == best.cost:
		best.ties++
	default:
		return
	}
	if best.ties == 1 || hashing.Mix(tieCounter.Add(1))%uint64(best.ties) == 0 {
		best.runner, best.cost, best.uncached = c.runner, cost, uncached
	}
}

// candidates lists the runners that may receive the request, without those already tried.
func (b *Balancer) candidates(request Request, now time.Time) []candidate {
	runners := b.Runners(request.Service)
	out := make([]candidate, 0, len(runners))
	lowLatency := b.currentLowLatency(now)
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
