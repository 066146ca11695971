package place

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/lib/runloop"
)

// Scheduler queues requests and assigns runners to them. Its methods may be called concurrently.
type Scheduler struct {
	zone     string
	prefixes *PrefixIndex
	wake     chan struct{}
	mu       sync.Mutex // guards queues, waiting and each waiter's done
	queues   []*queue   // sorted by priority, then kind; none is empty
	waiting  int        // waiters in all queues

	// Lengths estimates the output length of requests by traffic class, from the length that they request.
	Lengths *allow.LaneLengths
}

// NewScheduler returns the scheduler of a router in a zone.
func NewScheduler(zone string, prefixes *PrefixIndex) *Scheduler {
	return &Scheduler{zone: zone, prefixes: prefixes, wake: make(chan struct{}, 1), Lengths: allow.NewLaneLengths()}
}

// Wake makes Run dispatch again, because a runner may have capacity now. It does not block.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dispatchInterval is the interval of dispatches without a call of Wake.
const dispatchInterval = 50 * time.Millisecond

// Run assigns runners to waiting requests until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	runloop.Run(ctx, s.wake, dispatchInterval, func(struct{}) { s.dispatch() }, s.dispatch)
}

// Waiting returns how many requests are waiting, and their expected output tokens by kind.
func (s *Scheduler) Waiting() (int, map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := map[string]int{}
	for _, queue := range s.queues {
		for _, waiters := range queue.byTenant {
			for _, waiter := range waiters {
				tokens[queue.kind] += s.Lengths.ExpectedTokens(waiter.TrafficClass, waiter.Tokens)
			}
		}
	}
	return s.waiting, tokens
}

// TokensAhead returns the expected output tokens of the waiting requests of a kind that would be dispatched before a new one.
// These are all requests of higher priorities and, in its own priority, all of its tenant. Since dispatch is round robin
// between tenants, of each other tenant they are at most one more than of its own.
func (s *Scheduler) TokensAhead(kind string, priority, tenant int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := 0
	for _, queue := range s.queues {
		if queue.kind != kind || queue.priority > priority {
			continue
		}
		rounds := len(queue.byTenant[tenant]) + 1
		for other, waiters := range queue.byTenant {
			for i, waiter := range waiters {
				if queue.priority < priority || other == tenant || i < rounds {
					tokens += s.Lengths.ExpectedTokens(waiter.TrafficClass, waiter.Tokens)
				}
			}
		}
	}
	return tokens
}
