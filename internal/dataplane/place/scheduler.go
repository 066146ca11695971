package place

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/lib/runloop"
)

// Scheduler holds the queues, and assigns runners to the requests in them. Its methods may be called concurrently; mu guards
// the queues.
type Scheduler struct {
	zone     string
	prefixes *PrefixIndex
	wake     chan struct{}
	mu       sync.Mutex
	queues   []*queue // by priority, then kind
	waiting  int

	// Lengths estimates the output of requests, by traffic class, from what they ask for.
	Lengths *allow.LaneLengths
}

// NewScheduler makes the scheduler of a router in the zone.
func NewScheduler(zone string, prefixes *PrefixIndex) *Scheduler {
	return &Scheduler{zone: zone, prefixes: prefixes, wake: make(chan struct{}, 1), Lengths: allow.NewLaneLengths()}
}

// Wake has the scheduler look again: a runner may have capacity.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dispatchInterval is how often the queues are looked at where nothing wakes the scheduler.
const dispatchInterval = 50 * time.Millisecond

// Run assigns runners until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	runloop.Run(ctx, s.wake, dispatchInterval, func(struct{}) { s.dispatch() }, s.dispatch)
}

// Waiting returns how many requests wait, and the expected output tokens of those of each kind.
func (s *Scheduler) Waiting() (int, map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, queue := range s.queues {
		for _, waiters := range queue.byTenant {
			for _, waiter := range waiters {
				out[queue.kind] += s.Lengths.ExpectedTokens(waiter.Lane, waiter.Tokens)
			}
		}
	}
	return s.waiting, out
}

// TokensAhead returns the output tokens of those waiting for a kind that would go before a newcomer: all of higher
// priorities, in its own priority all of its tenant's and, since tenants take turns, as many requests of each other
// tenant as it must itself wait turns.
func (s *Scheduler) TokensAhead(kind string, priority, tenant int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, queue := range s.queues {
		if queue.kind != kind || queue.priority > priority {
			continue
		}
		turns := len(queue.byTenant[tenant]) + 1
		for other, waiters := range queue.byTenant {
			for i, waiter := range waiters {
				if queue.priority < priority || other == tenant || i < turns {
					sum += s.Lengths.ExpectedTokens(waiter.Lane, waiter.Tokens)
				}
			}
		}
	}
	return sum
}
