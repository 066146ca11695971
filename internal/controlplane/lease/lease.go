// Package lease counts the grants of a majority: a duty's holder may act only while enough
// voters' grants stand, and stops before they end.
package lease

import (
	"maps"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Lease is the holder's side. Each grant counts from when it was asked for, on the holder's own
// monotonic clock, and is cut by a margin for drift between clocks.
type Lease struct {
	mu           sync.Mutex
	term         time.Duration
	grantedUntil map[string]time.Time
	answeredAt   map[string]time.Time
}

// New makes a lease whose grants run for term, less a tenth for drift.
func New(term time.Duration) *Lease {
	return &Lease{term: term - term/10, grantedUntil: map[string]time.Time{}, answeredAt: map[string]time.Time{}}
}

// RecordGrant notes a voter's yes to a question asked at the time given.
func (l *Lease) RecordGrant(voter string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := asked.Add(l.term); end.After(l.grantedUntil[voter]) {
		l.grantedUntil[voter] = end
	}
}

// RecordResponse notes that a voter answered at all.
func (l *Lease) RecordResponse(voter string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt[voter] = time.Now()
}

// SinceResponse tells how long ago a voter last answered; since is used for one never heard.
func (l *Lease) SinceResponse(voter string, since time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.answeredAt[voter]
	if t.Before(since) {
		t = since
	}
	return time.Since(t)
}

// HasRecentResponses reports whether those who answered within the span satisfy most.
func (l *Lease) HasRecentResponses(most func(map[string]bool) bool, span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	got := map[string]bool{}
	for voter, at := range l.answeredAt {
		if time.Since(at) < span {
			got[voter] = true
		}
	}
	return most(got)
}

// ForNextEpoch is the lease of the next epoch: no grants yet, but what is known of who answers.
func (l *Lease) ForNextEpoch() *Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := New(0)
	n.term = l.term
	maps.Copy(n.answeredAt, l.answeredAt)
	return n
}

// IsHeld reports whether the grants that still run now satisfy most.
func (l *Lease) IsHeld(most func(map[string]bool) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	got := map[string]bool{}
	for voter, end := range l.grantedUntil {
		if now.Before(end) {
			got[voter] = true
		}
	}
	return most(got) || faultinjection.Disabled("lease")
}
