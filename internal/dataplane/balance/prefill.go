package balance

import "sync"

// serviceStats holds the measurements that this router shares among all runners of one service.
type serviceStats struct {
	prefill prefillRate
	stalls  stallHistory
}

// statsFor returns the measurements of a service, and creates them on first use. The caller holds b.mu.
func (b *Balancer) statsFor(service string) *serviceStats {
	stats := b.services[service]
	if stats == nil {
		stats = &serviceStats{}
		b.services[service] = stats
	}
	return stats
}

// prefillRate returns the prefill rate in prompt tokens per millisecond. It is measured over all runners of the
// service: with a rate per runner, a single slow response could keep a router away from that runner for good. A runner
// that is slower than the others shows it in its measured wait.
func (r *Runner) prefillRate() float64 { return r.stats.prefill.rate() }

// Parameters of the prefill rate estimate. Faster samples weigh more than slower ones, because slow samples include
// queueing: the estimate stays near the fastest samples.
const (
	initialTokensPerMs  = 100.0 // assumed until a sample is measured
	minRateSampleTokens = 500   // shorter prompts are not sampled
	fasterSampleWeight  = 0.10  // of a sample above the moving average
	slowerSampleWeight  = 0.02  // of a sample below it
)

// prefillRate estimates how fast the runners of one service prefill prompts. mu guards it; it is taken while a Runner's
// mu is held.
type prefillRate struct {
	mu       sync.Mutex
	measured float64 // prompt tokens per millisecond; 0: no sample yet
}

// rate returns the estimate in prompt tokens per millisecond, initialTokensPerMs before the first sample.
func (p *prefillRate) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.measured == 0 {
		return initialTokensPerMs
	}
	return p.measured
}

// sample adds a measured rate to the estimate.
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
