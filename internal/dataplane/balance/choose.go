package balance

import (
	"math"
	"sync/atomic"
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
	context := b.session(&request, key, shared)
	prompt := promptCache{input: request.Input, shared: shared, held: b.cache.Match(request.Parts), expected: first, session: &context}
	if context.id != 0 {
		prompt.expected = context.presumedHolder(candidates, first)
		if context.affinityTarget = home; len(request.Tried) > 0 {
			context.affinityTarget = b.affinityTarget(request.Service, request.Model, key)
		}
	}
	cheapest := cheapestRunner{cost: math.Inf(1)}
	for i := range candidates {
		cheapest.consider(&candidates[i], &prompt, &b.turn)
	}
	if cheapest.runner == nil {
		return nil
	}
	b.cache.Record(request.Parts, cheapest.runner.Index)
	attempt := cheapest.runner.begin(cheapest.read, now)
	attempt.balancer, attempt.context = b, context
	return attempt
}

// promptCache tells what of a request's prompt is where in the runners' prefix caches.
type promptCache struct {
	input    int // tokens of the whole prompt
	shared   int // of those that other requests begin with too
	held     map[int]int
	expected *Runner // where the shared part is expected, though nobody is known to have sent it there; nil: nowhere
	session  *sessionRef
}

// cachedTokens is how many of the prompt's tokens a runner need not read.
func (p *promptCache) cachedTokens(c *candidate) int {
	cached := p.held[c.runner.Index]
	if c.runner == p.expected || p.session.isHeldBy(c.id) {
		cached = max(cached, p.shared)
	}
	return cached
}

// cost is what it costs to send the request to a candidate, in milliseconds, and how many tokens that runner reads.
func (p *promptCache) cost(c *candidate) (cost float64, read int) {
	cached := p.cachedTokens(c)
	read = max(0, p.input-cached)
	cost = c.wait + float64(read)/c.rate + rereadCostMsPerToken*float64(max(0, p.shared-cached))
	if c.ejected {
		cost += ejectedCostMs
	}
	return cost, read
}

// cheapestRunner is the one of lowest cost of those considered. Each of several equals is as likely as the others, so that
// routers do not all choose the same runner.
type cheapestRunner struct {
	runner *Runner // nil: none was considered
	cost   float64
	read   int // tokens of the prompt that it reads
	equals int // candidates of this cost so far
}

// consider takes a candidate in place of the one before where that costs less.
func (best *cheapestRunner) consider(c *candidate, prompt *promptCache, turn *atomic.Uint64) {
	cost, read := prompt.cost(c)
	switch {
	case cost < best.cost:
		best.equals = 1
	case cost == best.cost:
		best.equals++
	default:
		return
	}
	if best.equals == 1 || hashing.Mix(turn.Add(1))%uint64(best.equals) == 0 {
		best.runner, best.cost, best.read = c.runner, cost, read
	}
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
