package balance

import (
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// RunnerAdded returns a channel that signals that a runner has become ready and RefreshAffinity is due.
func (b *Balancer) RunnerAdded() <-chan struct{} { return b.addedSignal }

// recordAdded queues a runner that has become ready for RefreshAffinity, and signals RunnerAdded. The caller holds b.mu.
func (b *Balancer) recordAdded(runner *Runner) {
	b.added = append(b.added, runner)
	select {
	case b.addedSignal <- struct{}{}:
	default:
	}
}

// RefreshAffinity finds the sessions that this router served at their affinity target and whose target is now a newly
// added runner, and announces their old runner in the session directory. It does nothing if no runner was added.
func (b *Balancer) RefreshAffinity() {
	added := b.drainAdded()
	if len(added) == 0 {
		return
	}
	for _, remembered := range b.recent.all() {
		if !remembered.changesTarget(added) {
			continue
		}
		if _, known := b.Sessions.Lookup(remembered.id); !known && len(b.filterReady([]string{remembered.runner})) > 0 {
			b.Sessions.Record(remembered.id, remembered.runner)
		}
		b.recent.remove(remembered.id)
	}
}

// drainAdded returns the runners that have become ready since the last call and still are.
func (b *Balancer) drainAdded() []routing.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []routing.Runner
	for _, runner := range b.added {
		if info := runner.Info(); info.State == routing.RunnerReady {
			out = append(out, info)
		}
	}
	b.added = nil
	return out
}

// changesTarget reports whether one of the added runners replaces the session's runner as its affinity target.
func (s *recentSession) changesTarget(added []routing.Runner) bool {
	weight := hashing.RendezvousWeight(s.key, s.runner)
	for i := range added {
		runner := &added[i]
		if runner.ID != s.runner && runner.Service == s.service && servesModel(runner, s.model) && hashing.RendezvousWeight(s.key, runner.ID) > weight {
			return true
		}
	}
	return false
}

// affinityTarget returns the ID of the ready runner with the highest rendezvous weight for a key, ejected or not. All
// routers with the same list of runners compute the same one.
func (b *Balancer) affinityTarget(service, model string, key uint64) string {
	var best string
	var bestWeight uint64
	for _, runner := range b.Runners(service) {
		runner.mu.Lock()
		id, fits := runner.info.ID, runner.info.State == routing.RunnerReady && servesModel(&runner.info, model)
		runner.mu.Unlock()
		if !fits {
			continue
		}
		if weight := hashing.RendezvousWeight(key, id); best == "" || weight > bestWeight {
			best, bestWeight = id, weight
		}
	}
	return best
}
