package balance

import "time"

// Tally counts the outcomes of attempts at a runner and the gaps between the events of its streams.
type Tally struct {
	Attempts, Failures int
	Gaps               int
	GapTotal           time.Duration // sum of all gaps
}

// DrainTally returns the counts since the last call by runner ID, and resets them. Runners without any are left out.
// Attempts in flight at a stalled runner count as failed.
func (b *Balancer) DrainTally() map[string]Tally {
	now := time.Now()
	out := map[string]Tally{}
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			if tally := runner.drainTally(now); tally.Attempts > 0 || tally.Gaps > 0 {
				out[runner.Info().ID] = tally
			}
		}
	}
	return out
}

// drainTally returns the counts since the last call and resets them.
func (r *Runner) drainTally(now time.Time) Tally {
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
