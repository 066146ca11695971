package place

import (
	"yarrowridge/internal/dataplane/runner"
)

// dispatch assigns runners to waiting requests, by priority, and round robin between the tenants of a queue.
func (s *Scheduler) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A runner found full counts as full until this call ends. If it were checked again, capacity that becomes free meanwhile
	// would go to a request of lower priority than one that found none.
	full := map[int]bool{}
	for _, queue := range append([]*queue(nil), s.queues...) {
		for misses := 0; len(queue.tenantOrder) > 0 && misses < len(queue.tenantOrder); {
			tenant := queue.tenantOrder[0]
			waiter := queue.byTenant[tenant][0]
			if waiter.Recheck != nil {
				if err := waiter.Recheck(); err != nil {
					queue.tenantOrder = append(queue.tenantOrder[1:], tenant)
					s.dequeue(waiter)
					waiter.err = err
					close(waiter.granted)
					misses = 0
					continue
				}
			}
			slot := s.acquireSlot(waiter, full)
			if slot == nil {
				misses++
				queue.tenantOrder = append(queue.tenantOrder[1:], tenant)
				continue
			}
			misses = 0
			queue.tenantOrder = append(queue.tenantOrder[1:], tenant)
			s.dequeue(waiter)
			waiter.granted <- slot
		}
	}
}

// acquireSlot acquires a slot on the best runner for a waiter, or returns nil if no eligible runner has capacity. It skips the
// runners in full, by runner index, and adds those that it finds unhealthy or without capacity.
func (s *Scheduler) acquireSlot(waiter *Waiter, full map[int]bool) *runner.Slot {
	var candidates []Candidate
	for _, instance := range waiter.Eligible() {
		if waiter.Excluded[instance.Index] || full[instance.Index] {
			continue
		}
		if instance.Health() != "" || !instance.HasCapacity() {
			full[instance.Index] = true
			continue
		}
		load, capacity := instance.Load()
		candidates = append(candidates, Candidate{Instance: instance, Index: instance.Index, Address: instance.Address, SameZone: instance.Zone() == s.zone, Load: load, Capacity: capacity})
	}
	depth := s.prefixes.Match(waiter.PrefixHashes)
	for len(candidates) > 0 {
		i := Choose(waiter.PrefixHashes, candidates, depth)
		if i < 0 {
			return nil
		}
		instance := candidates[i].Instance
		if slot := instance.Acquire(waiter.Tokens, waiter.UntilFirstByte); slot != nil {
			s.prefixes.Record(waiter.PrefixHashes, instance.Index)
			return slot
		}
		full[instance.Index] = true
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
	return nil
}
