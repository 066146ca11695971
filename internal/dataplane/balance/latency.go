package balance

import "time"

// lowLatencyRunners are the runners whose streams have the shortest gaps between events for all routers together. It is
// immutable once stored.
type lowLatencyRunners struct {
	ids   map[string]bool
	until time.Time
}

// SetLowLatency takes the IDs of the runners whose streams have the shortest gaps for all routers together. They count for
// fleetReportTTL. It may be called concurrently with Choose.
func (b *Balancer) SetLowLatency(ids []string) {
	runners := &lowLatencyRunners{ids: make(map[string]bool, len(ids)), until: time.Now().Add(fleetReportTTL)}
	for _, id := range ids {
		runners.ids[id] = true
	}
	b.lowLatency.Store(runners)
}

// lowLatencyNow gives the low-latency runners; nil: nothing is known of them now.
func (b *Balancer) lowLatencyNow(now time.Time) *lowLatencyRunners {
	runners := b.lowLatency.Load()
	if runners == nil || len(runners.ids) == 0 || now.After(runners.until) {
		return nil
	}
	return runners
}
