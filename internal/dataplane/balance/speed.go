package balance

import "sync"

// serviceHabits is what this router has seen of all runners of one service together.
type serviceStats struct {
	prefill prefillRate
	stalls  stallHistory
}

// habitsOf gives what was seen of a service's runners. The caller holds the lock.
func (b *Balancer) statsOf(service string) *serviceStats {
	known := b.services[service]
	if known == nil {
		known = &serviceStats{}
		b.services[service] = known
	}
	return known
}

// rate is how many prompt tokens the runner reads in a millisecond. It is measured over all runners of the
// service: a single slow answer must not keep a router from a runner for good, and what a runner is slower
// than the others shows in its measured wait.
func (r *Runner) prefillRate() float64 { return r.stats.prefill.rate() }

// How the speed of a service's runners is learnt: nearly the fastest readings count, since the others waited.
const (
	minRateSampleTokens = 500  // tokens of a prompt that tells something
	fasterSampleWeight  = 0.10 // weight of a faster reading
	slowerSampleWeight  = 0.02 // weight of a slower one
)

// speed is how fast the runners of one service read prompts.
type prefillRate struct {
	mu       sync.Mutex
	measured float64 // prompt tokens in a millisecond; 0: not yet
}

func (s *prefillRate) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.measured == 0 {
		return initialTokensPerMs
	}
	return s.measured
}

func (s *prefillRate) sample(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.measured == 0:
		s.measured = max(rate, initialTokensPerMs)
	case rate > s.measured:
		s.measured += fasterSampleWeight * (rate - s.measured)
	default:
		s.measured += slowerSampleWeight * (rate - s.measured)
	}
}
