package balance

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
)

// Runner is one incarnation of one runner with what this router has measured of it.
type Runner struct {
	Index int // dense, never used again
	stats *serviceStats
	since time.Time // when this router came to know it

	mu   sync.Mutex // guards the fields below
	info routing.Runner

	// Requests in flight.
	inFlight            map[*Attempt]struct{}
	pendingPromptTokens int       // sent, whose first event has not come
	lastActivity        time.Time // when it last sent anything, or began to work after it had none

	// Moving averages, in milliseconds.
	waitMs     float64 // what the prompt's own prefill does not explain of the time to the first byte, as of waitAt
	waitAt     time.Time
	responseMs float64 // of complete responses
	eventGapMs float64 // between events

	// Failures and rejections.
	failuresInRow     int
	ejectedUntil      time.Time
	failureShare      float64 // of lately failed attempts, as of failureShareAt
	failureShareAt    time.Time
	rejectedAt        time.Time // when it last had no capacity
	fleetFailureShare float64   // of attempts that failed lately for all routers, as far as it is large
	fleetFailureUntil time.Time
	tally             Tally
}

func newRunner(index int, info routing.Runner, service *serviceStats, now time.Time) *Runner {
	return &Runner{Index: index, stats: service, info: info, since: now, lastActivity: now, inFlight: map[*Attempt]struct{}{}}
}

// Info is what the runner last said of itself. It may be called concurrently.
func (r *Runner) Info() routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}
