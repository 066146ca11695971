package balance

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
)

// Runner is one incarnation of a runner, with the measurements of this router.
type Runner struct {
	Index     int // dense, never reused
	stats     *serviceStats
	firstSeen time.Time // when this router first listed it

	mu   sync.Mutex // guards the fields below
	info routing.Runner

	// Requests in flight.
	inFlight            map[*Attempt]struct{}
	pendingPromptTokens int       // of requests without a first byte yet
	lastActivity        time.Time // last data received, or start of the first request after idle

	// Moving averages, in milliseconds.
	waitMs     float64 // time to the first byte without the prefill of the request's own prompt, as of waitAt
	waitAt     time.Time
	responseMs float64 // duration of complete responses
	eventGapMs float64 // gap between events

	// Failures and rejections.
	failuresInRow      int
	ejectedUntil       time.Time
	failureRate        float64 // recent share of failed attempts, as of failureRateAt
	failureRateAt      time.Time
	rejectedAt         time.Time // last rejection for lack of capacity
	fleetFailureRate   float64   // over all routers, valid until fleetFailureExpiry; 0: not reported as failing
	fleetFailureExpiry time.Time
	tally              Tally
}

func newRunner(index int, info routing.Runner, service *serviceStats, now time.Time) *Runner {
	return &Runner{Index: index, stats: service, info: info, firstSeen: now, lastActivity: now, inFlight: map[*Attempt]struct{}{}}
}

// Info returns the latest state that the runner reported. It may be called concurrently.
func (r *Runner) Info() routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}
