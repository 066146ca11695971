package coreclient

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is between two searches, and between two calls of the primary that is known.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the backoff that grows while no call succeeds.
	maxBackoff = time.Second
	// outageDivisor divides the time for which no call has succeeded: the backoff is this part of it, so that an outage seems
	// longer by no more than that, while a crowd of clients calls ever less often.
	outageDivisor = 10
	// minOverloadBackoff is after the first call that an overloaded primary has rejected.
	minOverloadBackoff = 100 * time.Millisecond
	// maxOverloadBackoff bounds the backoff that doubles with each further one.
	maxOverloadBackoff = 2 * time.Second
)

// backoff is how long a client's calls wait before they are made again. All calls of a client share it: they go to one
// primary. Its methods may be called concurrently.
type backoff struct {
	mu        sync.Mutex
	failingAt time.Time     // when a call first failed since the last one that succeeded; zero: none has
	overload  time.Duration // the next wait after a rejection for overload; 0: none was rejected since the last success
}

// recordSuccess ends both backoffs.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingAt, b.overload = time.Time{}, 0
}

// recordNewPrimary ends the backoff of an outage: another primary is to be called at once.
func (b *backoff) recordNewPrimary() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingAt = time.Time{}
}

// afterFailure is the wait after a failed call or search.
func (b *backoff) afterFailure(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingAt.IsZero() {
		b.failingAt = now
	}
	wait := min(now.Sub(b.failingAt)/outageDivisor, maxBackoff)
	if wait <= minBackoff {
		return minBackoff
	}
	return jitter(wait)
}

// afterOverload is the wait after a call that was rejected for overload.
func (b *backoff) afterOverload() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overload = min(max(2*b.overload, minOverloadBackoff), maxOverloadBackoff)
	return jitter(b.overload)
}

// jitter is a duration drawn at random from half to one and a half of another: clients that failed together do not come back
// together.
func jitter(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }
