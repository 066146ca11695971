package runnerregistry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

// How runners are ranked by inter-token latency.
const (
	tokenGapHalfLife     = 2 * time.Second        // half-life of the weight of a gap between two events of a stream
	minTokenGaps         = 3.0                    // weighted gaps that a runner needs to be ranked
	lowLatencyFraction   = 0.5                    // share of a service's ranked runners that are low-latency, rounded down
	lowLatencyListMaxAge = 200 * time.Millisecond // how long a computed list is reused
)

// LatencyTracker aggregates the inter-token latency of runners over all routers. The latency of a stream reflects the other
// load on its runner, but in a large fleet a single router has too few streams to rank the runners by it. The zero value is
// ready for use; its methods are safe for concurrent use.
type LatencyTracker struct {
	mu           sync.Mutex
	gaps         decayingSums // per runner: the number of gaps, and their sum in milliseconds
	lowLatency   []string     // sorted IDs of the low-latency runners, computed at lowLatencyAt
	lowLatencyAt time.Time
}

// Record adds the counts reported by one router. Invalid counts are ignored.
func (t *LatencyTracker) Record(stats []coreapi.RunnerStats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, runner := range stats {
		if runner.TokenGaps > 0 && runner.TokenGapsMs >= 0 {
			t.gaps.add(runner.ID, tokenGapHalfLife, runner.TokenGaps, runner.TokenGapsMs, now)
		}
	}
}

// LowLatencyRunners returns the sorted IDs of the runners with the lowest inter-token latency within their service. Runners
// that are not ready, or that have fewer weighted gaps than minTokenGaps, are not ranked. list returns the known runners; it
// is called with the tracker's lock held, and only if the last result is older than lowLatencyListMaxAge.
func (t *LatencyTracker) LowLatencyRunners(list func(time.Time) []routing.Runner, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lowLatencyAt.IsZero() && now.Sub(t.lowLatencyAt) < lowLatencyListMaxAge {
		return t.lowLatency
	}
	known := list(now)
	t.removeUnknown(known)
	byService := map[string][]runnerLatency{}
	for _, runner := range known {
		sum := t.gaps[runner.ID]
		if sum == nil || runner.State != routing.RunnerReady {
			continue
		}
		if sum.decayTo(now); sum.count >= minTokenGaps {
			byService[runner.Service] = append(byService[runner.Service], runnerLatency{runner.ID, sum.mean()})
		}
	}
	t.lowLatency, t.lowLatencyAt = nil, now
	for _, latencies := range byService {
		t.lowLatency = append(t.lowLatency, lowestLatencyIDs(latencies)...)
	}
	slices.Sort(t.lowLatency)
	return t.lowLatency
}

// runnerLatency is the mean inter-token latency of one runner.
type runnerLatency struct {
	id     string
	meanMs float64
}

// lowestLatencyIDs returns the IDs of the lowLatencyFraction of runners with the lowest latency. It sorts its argument.
func lowestLatencyIDs(latencies []runnerLatency) []string {
	slices.SortFunc(latencies, func(a, b runnerLatency) int { return cmp.Compare(a.meanMs, b.meanMs) })
	count := int(float64(len(latencies)) * lowLatencyFraction)
	ids := make([]string, 0, count)
	for _, runner := range latencies[:count] {
		ids = append(ids, runner.id)
	}
	return ids
}

// removeUnknown removes the sums of runners that are no longer known, once there are more sums than known runners. The caller
// holds the lock.
func (t *LatencyTracker) removeUnknown(known []routing.Runner) {
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
