package balance

import "sync"

// serviceHabits is what this router has seen of all runners of one service together.
type serviceHabits struct {
	speed    speed
	silences silences
}

// habitsOf gives what was seen of a service's runners. The caller holds the lock.
func (b *Balancer) habitsOf(service string) *serviceHabits {
	known := b.services[service]
	if known == nil {
		known = &serviceHabits{}
		b.services[service] = known
	}
	return known
}

// rate is how many prompt tokens the runner reads in a millisecond. It is measured over all runners of the
// service: a single slow answer must not keep a router from a runner for good, and what a runner is slower
// than the others shows in its measured wait.
func (r *Runner) rate() float64 { return r.service.speed.rate() }

// How the speed of a service's runners is learnt: nearly the fastest readings count, since the others waited.
const (
	rateSample = 500  // tokens of a prompt that tells something
	rateRise   = 0.10 // weight of a faster reading
	rateFall   = 0.02 // weight of a slower one
)

// speed is how fast the runners of one service read prompts.
type speed struct {
	mu       sync.Mutex
	measured float64 // prompt tokens in a millisecond; 0: not yet
}

func (s *speed) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.measured == 0 {
		return firstRate
	}
	return s.measured
}

func (s *speed) sample(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.measured == 0:
		s.measured = max(rate, firstRate)
	case rate > s.measured:
		s.measured += rateRise * (rate - s.measured)
	default:
		s.measured += rateFall * (rate - s.measured)
	}
}
