package balance

import "time"

// lowLatencyRunners is the set of runners with the shortest gaps between stream events over all routers. It is
// immutable once stored.
type lowLatencyRunners struct {
	ids   map[string]bool
	until time.Time
}

// SetLowLatency stores the IDs of the runners with the shortest gaps between stream events over all routers, for
// fleetReportTTL. It may be called concurrently with Choose.
func (b *Balancer) SetLowLatency(ids []string) {
	runners := &lowLatencyRunners{ids: make(map[string]bool, len(ids)), until: time.Now().Add(fleetReportTTL)}
	for _, id := range ids {
		runners.ids[id] = true
	}
	b.lowLatency.Store(runners)
}

// currentLowLatency returns the low-latency runners, or nil if there is no valid report.
func (b *Balancer) currentLowLatency(now time.Time) *lowLatencyRunners {
	runners := b.lowLatency.Load()
	if runners == nil || len(runners.ids) == 0 || now.After(runners.until) {
		return nil
	}
	return runners
}
