package place

import (
	"sort"
)

// queue contains the waiters of one kind and priority: first in, first out for each tenant, round robin between tenants.
type queue struct {
	priority    int
	kind        string
	byTenant    map[int][]*Waiter // without tenants that have no waiters
	tenantOrder []int             // the tenants in byTenant; the first is next
}

// queueOf returns the queue of a priority and kind, and creates it if there is none. The caller holds the mutex.
func (s *Scheduler) queueOf(priority int, kind string) *queue {
	i := sort.Search(len(s.queues), func(i int) bool {
		queue := s.queues[i]
		return queue.priority > priority || queue.priority == priority && queue.kind >= kind
	})
	if i < len(s.queues) && s.queues[i].priority == priority && s.queues[i].kind == kind {
		return s.queues[i]
	}
	queue := &queue{priority: priority, kind: kind, byTenant: map[int][]*Waiter{}}
	s.queues = append(s.queues, nil)
	copy(s.queues[i+1:], s.queues[i:])
	s.queues[i] = queue
	return queue
}

// enqueue adds a waiter at the end of its tenant's queue. The caller holds the mutex.
func (s *Scheduler) enqueue(waiter *Waiter) {
	queue := s.queueOf(waiter.Priority, waiter.Kind)
	if len(queue.byTenant[waiter.Tenant]) == 0 {
		queue.tenantOrder = append(queue.tenantOrder, waiter.Tenant)
	}
	queue.byTenant[waiter.Tenant] = append(queue.byTenant[waiter.Tenant], waiter)
	s.waiting++
}

// dequeue removes a waiter from its queue, and the queue if that is then empty. The caller holds the mutex.
func (s *Scheduler) dequeue(waiter *Waiter) {
	queue := s.queueOf(waiter.Priority, waiter.Kind)
	waiters := queue.byTenant[waiter.Tenant]
	for i := range waiters {
		if waiters[i] == waiter {
			queue.byTenant[waiter.Tenant] = append(waiters[:i:i], waiters[i+1:]...)
			break
		}
	}
	if len(queue.byTenant[waiter.Tenant]) == 0 {
		delete(queue.byTenant, waiter.Tenant)
		for i, t := range queue.tenantOrder {
			if t == waiter.Tenant {
				queue.tenantOrder = append(queue.tenantOrder[:i:i], queue.tenantOrder[i+1:]...)
				break
			}
		}
	}
	if len(queue.tenantOrder) == 0 {
		for i, other := range s.queues {
			if other == queue {
				s.queues = append(s.queues[:i:i], s.queues[i+1:]...)
				break
			}
		}
	}
	s.waiting--
	waiter.done = true
}

// evictBelow rejects one waiter of the lowest priority, if that is below the given one: the newest of the tenant with the most
// waiters in that queue. It reports whether there was one. The caller holds the mutex.
func (s *Scheduler) evictBelow(priority int) bool {
	for i := len(s.queues) - 1; i >= 0; i-- {
		queue := s.queues[i]
		if queue.priority <= priority {
			return false
		}
		var longest []*Waiter
		for _, waiters := range queue.byTenant {
			if len(waiters) > len(longest) {
				longest = waiters
			}
		}
		if len(longest) > 0 {
			waiter := longest[len(longest)-1]
			s.dequeue(waiter)
			waiter.err = ErrQueueFull
			close(waiter.granted)
			return true
		}
	}
	return false
}
