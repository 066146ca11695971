// Package lease is the primary's side of its master lease (Gray and Cheriton, "Leases", 1989; Chandra, Griesemer and
// Redstone, "Paxos Made Live", 2007): it records the grants of the acceptors. The primary may answer only while it has
// unexpired grants from a majority. The acceptors' side is in package paxos.
package lease

import (
	"maps"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// quorumFunc reports whether a set of acceptors is a quorum. It must not call methods of the Lease, whose mutex is locked.
type quorumFunc = func(acceptors map[string]bool) bool

// Lease records the grants for one epoch, and when each acceptor last responded. A grant runs from the time of its request,
// on the primary's own monotonic clock, and is shorter than the acceptor's term by a margin for clock drift. So it expires
// at the primary before it expires at the acceptor. All methods may be called concurrently.
type Lease struct {
	grantTerm time.Duration

	mu            sync.Mutex // guards the maps, whose keys are acceptor IDs
	grantedUntil  map[string]time.Time
	lastContactAt map[string]time.Time
}

// New returns a lease without grants. term is the term that acceptors grant; a tenth of it is the margin for clock drift.
func New(term time.Duration) *Lease {
	return &Lease{grantTerm: term - term/10, grantedUntil: map[string]time.Time{}, lastContactAt: map[string]time.Time{}}
}

// ForNextEpoch returns a lease for the next epoch, if this process leads that as well. It has no grants, but keeps the times
// of the last contact with each acceptor.
func (l *Lease) ForNextEpoch() *Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Lease{grantTerm: l.grantTerm, grantedUntil: map[string]time.Time{}, lastContactAt: maps.Clone(l.lastContactAt)}
}

// RecordGrant records an acceptor's grant of a request that was sent at requestedAt.
func (l *Lease) RecordGrant(acceptor string, requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := requestedAt.Add(l.grantTerm); end.After(l.grantedUntil[acceptor]) {
		l.grantedUntil[acceptor] = end
	}
}

// IsHeld reports whether the acceptors with unexpired grants are a quorum.
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

// RecordContact records that an acceptor responded, whether or not it granted the request.
func (l *Lease) RecordContact(acceptor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContactAt[acceptor] = time.Now()
}

// TimeSinceContact returns the time since an acceptor last responded, but at most the time since the given moment.
func (l *Lease) TimeSinceContact(acceptor string, since time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastContactAt[acceptor]
	if last.Before(since) {
		last = since
	}
	return time.Since(last)
}

// IsInContact reports whether the acceptors that responded within the window are a quorum.
func (l *Lease) IsInContact(quorum quorumFunc, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	responsive := map[string]bool{}
	for acceptor, at := range l.lastContactAt {
		if time.Since(at) < window {
			responsive[acceptor] = true
		}
	}
	return quorum(responsive)
}
