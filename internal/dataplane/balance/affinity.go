package balance

import (
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// Added gives a signal when a runner has become ready: it is time for RefreshAffinity.
func (b *Balancer) Added() <-chan struct{} { return b.wake }

// recordAdded records a runner that has become ready. The caller holds b.mu.
func (b *Balancer) recordAdded(runner *Runner) {
	b.added = append(b.added, runner)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// RefreshAffinity looks, after runners were added, for sessions that this router served at their affinity target and whose
// target is one of the added ones now: their old runner becomes an announced holder. Where no runner was added it does
// nothing.
func (b *Balancer) RefreshAffinity() {
	added := b.takeAdded()
	if len(added) == 0 {
		return
	}
	for _, remembered := range b.recent.all() {
		if !remembered.changesTarget(added) {
			continue
		}
		if _, known := b.Sessions.Lookup(remembered.id); !known && len(b.readyOf([]string{remembered.holder})) > 0 {
			b.Sessions.Record(remembered.id, remembered.holder)
		}
		b.recent.forget(remembered.id)
	}
}

// takeAdded gives the runners that have become ready since the last call.
func (b *Balancer) takeAdded() []routing.Runner {
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

// changesTarget reports whether one of the added runners is the session's affinity target rather than its holder.
func (s *recentSession) changesTarget(added []routing.Runner) bool {
	weight := hashing.RendezvousWeight(s.key, s.holder)
	for i := range added {
		runner := &added[i]
		if runner.ID != s.holder && runner.Service == s.service && servesModel(runner, s.model) && hashing.RendezvousWeight(s.key, runner.ID) > weight {
			return true
		}
	}
	return false
}

// affinityTarget is the ready runner with the highest weight for a key, ejected or not: all routers with the same list of
// runners work out the same one.
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
