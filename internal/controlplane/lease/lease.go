// Package lease is the primary's side of its master lease (Gray and Cheriton, "Leases", 1989; Chandra, Griesemer and
// Redstone, "Paxos Made Live", 2007): it counts the grants of the acceptors. The primary may answer only while the grants
// of a majority run. The acceptors' side is in package paxos.
package lease

import (
	"maps"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// quorumFunc reports whether the acceptors marked are enough. It must not call the lease.
type quorumFunc = func(acceptors map[string]bool) bool

// Lease counts the grants for one epoch. A grant counts from when it was requested, on the primary's own monotonic clock,
// and is shorter than what the acceptor granted by a margin for drift between clocks: so it ends here before it ends
// there. All methods may be called concurrently.
type Lease struct {
	grantTerm time.Duration

	mu            sync.Mutex // guards the maps, by acceptor
	grantedUntil  map[string]time.Time
	lastContactAt map[string]time.Time
}

// New makes a lease without grants. term is what acceptors grant; a tenth of it is the margin for drift.
func New(term time.Duration) *Lease {
	return &Lease{grantTerm: term - term/10, grantedUntil: map[string]time.Time{}, lastContactAt: map[string]time.Time{}}
}

// ForNextEpoch is the lease of the next epoch, where this process leads that as well: no grants yet, but the same
// knowledge of who answers.
func (l *Lease) ForNextEpoch() *Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Lease{grantTerm: l.grantTerm, grantedUntil: map[string]time.Time{}, lastContactAt: maps.Clone(l.lastContactAt)}
}

// RecordGrant records an acceptor's grant of a request that was sent at the time given.
func (l *Lease) RecordGrant(acceptor string, requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := requestedAt.Add(l.grantTerm); end.After(l.grantedUntil[acceptor]) {
		l.grantedUntil[acceptor] = end
	}
}

// IsHeld reports whether the acceptors whose grants run now are a quorum.
func (l *Lease) IsHeld(quorum quorumFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	granted := map[string]bool{}
	for acceptor, end := range l.grantedUntil {
		if now.Before(end) {
			granted[acceptor] = true
		}
	}
	return quorum(granted) || faultinjection.Disabled("lease")
}

// RecordContact records that an acceptor answered, whatever it answered.
func (l *Lease) RecordContact(acceptor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContactAt[acceptor] = time.Now()
}

// TimeSinceContact tells how long ago an acceptor last answered; one that did not since the time given counts from then.
func (l *Lease) TimeSinceContact(acceptor string, since time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastContactAt[acceptor]
	if last.Before(since) {
		last = since
	}
	return time.Since(last)
}

// IsInContact reports whether the acceptors that answered within the span are a quorum.
func (l *Lease) IsInContact(quorum quorumFunc, span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := map[string]bool{}
	for acceptor, at := range l.lastContactAt {
		if time.Since(at) < span {
			answered[acceptor] = true
		}
	}
	return quorum(answered)
}
