package place

import (
	"yarrowridge/internal/dataplane/runner"
)

// dispatch assigns runners to those who wait: by priority, and round robin between the tenants of a priority.
func (s *Scheduler) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A runner found full counts as full for all of this round: were it looked at again, capacity that has just become
	// free would go to a lower priority than the one that found none.
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

// acquireSlot takes a slot on the runner chosen for a waiter, if any has capacity; full has those that have none.
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
