package balance

import "sync"

// serviceStats is what this router has measured of all runners of one service together.
type serviceStats struct {
	prefill prefillRate
	stalls  stallHistory
}

// statsOf gives what was measured of a service's runners. The caller holds b.mu.
func (b *Balancer) statsOf(service string) *serviceStats {
	known := b.services[service]
	if known == nil {
		known = &serviceStats{}
		b.services[service] = known
	}
	return known
}

// prefillRate is how many prompt tokens the runner reads in a millisecond. It is measured over all runners of the
// service: a single slow response must not keep a router from a runner for good, and what a runner is slower than the
// others shows in its measured wait.
func (r *Runner) prefillRate() float64 { return r.stats.prefill.rate() }

// How the prefill rate of a service's runners is learnt: nearly the fastest samples count, since the others waited.
const (
	initialTokensPerMs  = 100.0 // prompt tokens a millisecond, until it was measured
	minRateSampleTokens = 500   // of a prompt whose time is a sample
	fasterSampleWeight  = 0.10  // of a faster sample in the moving average
	slowerSampleWeight  = 0.02  // of a slower one
)

// prefillRate is how fast the runners of one service read prompts. mu guards it; it is taken while a Runner's mu is held.
type prefillRate struct {
	mu       sync.Mutex
	measured float64 // prompt tokens a millisecond; 0: not yet
}

// rate is the measured rate in prompt tokens a millisecond, the initial one until there is a sample.
func (p *prefillRate) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.measured == 0 {
		return initialTokensPerMs
	}
	return p.measured
}

// sample takes a prompt's rate.
func (p *prefillRate) sample(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.measured == 0:
		p.measured = max(rate, initialTokensPerMs)
	case rate > p.measured:
		p.measured += fasterSampleWeight * (rate - p.measured)
	default:
		p.measured += slowerSampleWeight * (rate - p.measured)
	}
}
