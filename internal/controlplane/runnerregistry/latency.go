package runnerregistry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

// How the inter-token latency of runners is judged.
const (
	tokenGapHalfLife     = 2 * time.Second        // of the weight of a gap between two events of a stream
	minTokenGaps         = 3.0                    // weighted gaps from which on a runner is judged
	lowLatencyFraction   = 0.5                    // of a service's judged runners, rounded down, count as low-latency
	lowLatencyListMaxAge = 200 * time.Millisecond // one list is given out for this long
)

// LatencyTracker adds up the inter-token latency of runners, as all routers saw it. What runs beside a stream shows in
// it; in a large fleet one router sees too few streams to tell the runners apart. The zero value is ready; its methods may
// be called concurrently.
type LatencyTracker struct {
	mu           sync.Mutex
	gaps         decayingSums // the count is gaps, the amount is their milliseconds
	lowLatency   []string     // IDs, sorted, as of lowLatencyAt
	lowLatencyAt time.Time
}

// Record adds one router's counts. Counts that cannot be are ignored.
func (t *LatencyTracker) Record(stats []coreapi.RunnerStats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, runner := range stats {
		if runner.TokenGaps > 0 && runner.TokenGapsMs >= 0 {
			t.gaps.add(runner.ID, tokenGapHalfLife, runner.TokenGaps, runner.TokenGapsMs, now)
		}
	}
}

// LowLatencyRunners lists the IDs of the runners of each service whose inter-token latency is lowest, sorted. Runners that
// are not ready, or of which too little was seen, are none of them. list gives the known runners; it is called with the
// tracker's lock held, and only where the last list is too old.
func (t *LatencyTracker) LowLatencyRunners(list func(time.Time) []routing.Runner, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lowLatencyAt.IsZero() && now.Sub(t.lowLatencyAt) < lowLatencyListMaxAge {
		return t.lowLatency
	}
	known := list(now)
	t.forgetUnknown(known)
	byService := map[string][]runnerLatency{}
	for _, runner := range known {
		seen := t.gaps[runner.ID]
		if seen == nil || runner.State != routing.RunnerReady {
			continue
		}
		if seen.decayTo(now); seen.count >= minTokenGaps {
			byService[runner.Service] = append(byService[runner.Service], runnerLatency{runner.ID, seen.mean()})
		}
	}
	t.lowLatency, t.lowLatencyAt = nil, now
	for _, measured := range byService {
		t.lowLatency = append(t.lowLatency, lowestLatencies(measured)...)
	}
	slices.Sort(t.lowLatency)
	return t.lowLatency
}

// runnerLatency is the mean inter-token latency of one runner.
type runnerLatency struct {
	id     string
	meanMs float64
}

// lowestLatencies gives the IDs of the lowLatencyFraction of runners with the lowest latency.
func lowestLatencies(measured []runnerLatency) []string {
	slices.SortFunc(measured, func(a, b runnerLatency) int { return cmp.Compare(a.meanMs, b.meanMs) })
	count := int(float64(len(measured)) * lowLatencyFraction)
	ids := make([]string, 0, count)
	for _, runner := range measured[:count] {
		ids = append(ids, runner.id)
	}
	return ids
}

// forgetUnknown drops the runners that are not known any longer. The caller holds the lock.
func (t *LatencyTracker) forgetUnknown(known []routing.Runner) {
	if len(t.gaps) <= len(known) {
		return
	}
	isKnown := make(map[string]bool, len(known))
	for i := range known {
		isKnown[known[i].ID] = true
	}
	for id := range t.gaps {
		if !isKnown[id] {
			delete(t.gaps, id)
		}
	}
}
