package balance

import "time"

// Tally counts how attempts at a runner ended, and the gaps between the events of its streams.
type Tally struct {
	Attempts, Failures int
	Gaps               int
	GapTotal           time.Duration // all gaps together
}

// Tally gives for each runner used since the last call how its attempts ended. Those in flight at a
// runner that has stalled count as failed.
func (b *Balancer) Tally() map[string]Tally {
	now := time.Now()
	out := map[string]Tally{}
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			if tally := runner.takeTally(now); tally.Attempts > 0 || tally.Gaps > 0 {
				out[runner.Info().ID] = tally
			}
		}
	}
	return out
}

// takeTally gives what was counted since the last call.
func (r *Runner) takeTally(now time.Time) Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tally
	r.tally = Tally{}
	if r.stalled(now) {
		tally.Attempts += len(r.inFlight)
		tally.Failures += len(r.inFlight)
	}
	return tally
}
