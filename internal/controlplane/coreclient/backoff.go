package coreclient

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is the minimum delay between two searches, and between two calls to the known primary.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the maximum delay, before jitter, while no call succeeds.
	maxBackoff = time.Second
	// outageDivisor sets the backoff as a fraction of the duration of the outage so far. A call thus notices the end of
	// the outage late by about this fraction only, while a large number of clients call less and less often.
	outageDivisor = 10
	// minOverloadBackoff is the delay after the first call that an overloaded primary rejects.
	minOverloadBackoff = 100 * time.Millisecond
	// maxOverloadBackoff is the maximum, before jitter, of this delay, which doubles with each further rejection.
	maxOverloadBackoff = 2 * time.Second
)

// backoff computes how long a client's calls wait before they are retried. All calls of a client share one backoff, since they
// go to the same primary. Its methods are safe for concurrent use.
type backoff struct {
	mu            sync.Mutex
	failingSince  time.Time     // first failure since the last successful call; zero: none
	overloadDelay time.Duration // delay after the last rejection for overload; 0: none since the last successful call
}

// recordSuccess resets both backoffs.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingSince, b.overloadDelay = time.Time{}, 0
}

// recordNewPrimary resets the backoff of an outage, so that a new primary is called immediately.
func (b *backoff) recordNewPrimary() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingSince = time.Time{}
}

// afterFailure returns the delay after a failed call or search.
func (b *backoff) afterFailure(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
	delay := min(now.Sub(b.failingSince)/outageDivisor, maxBackoff)
	if delay <= minBackoff {
		return minBackoff
	}
	return jitter(delay)
}

// afterOverload returns the delay after a call that was rejected for overload.
func (b *backoff) afterOverload() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overloadDelay = min(max(2*b.overloadDelay, minOverloadBackoff), maxOverloadBackoff)
	return jitter(b.overloadDelay)
}

// jitter returns a random duration from 0.5 to 1.5 times the given one, so that clients that failed at the same time do not
// retry at the same time.
func jitter(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }
