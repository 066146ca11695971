package quota

import (
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Share is what a router holds of one tenant's limit. All methods may be called concurrently; none blocks.
type Share struct {
	mu          sync.Mutex // guards all below
	entitlement entitlement
	window      tokenWindow
	contact     coreContact
	demand      demand
	transfers   transferSequence
}

// NewShare makes a share without units.
func NewShare() *Share { return newShare(Margin) }

func newShare(margin time.Duration) *Share {
	return &Share{window: tokenWindow{margin: margin}, contact: newCoreContact(time.Now())}
}

// SetLimit sets the tenant's limit as configured now: units in any window. A lowered limit shrinks at once what may be
// spent here, in proportion.
func (s *Share) SetLimit(units int, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entitlement.limit = units
	s.window.setLength(window)
}

// free is how many units may be reserved now; below 0 under a lowered limit. The caller holds the mutex.
func (s *Share) free(now time.Time) int {
	s.window.expire(now)
	return s.entitlement.usable() - s.window.inUse()
}

// How long a request is told to stay away that found too few units here.
const (
	minRetryAfter    = 300 * time.Millisecond // others hear that units are wanted, and return idle ones
	maxRetryAfter    = time.Second            // and units spent elsewhere come back at any time
	lostContactRetry = time.Minute            // nothing is spent here before the core is heard again
)

// Reserve reserves units for a request that was admitted; Commit or Cancel must follow. Where there are too few it reports
// false, and the time after which to ask again.
func (s *Share) Reserve(units int) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.demand.observe(units)
	if s.contact.isLost(now) {
		return false, lostContactRetry
	}
	if s.free(now) < units && !faultinjection.Disabled("quota") {
		s.demand.reject(units)
		return false, s.retryAfter(units, now)
	}
	s.window.reserved += units
	return true, 0
}

// retryAfter is when to ask again for units: once units spent here are back, or when others may have returned some. The
// caller holds the mutex and has expired the window.
func (s *Share) retryAfter(units int, now time.Time) time.Duration {
	release, ok := s.window.untilRelease(now)
	if !ok || s.entitlement.units < units {
		return minRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, release))
}

// Commit turns reserved units into spent ones: the request leaves for a runner now.
func (s *Share) Commit(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.commit(units, time.Now())
}

// Cancel ends a reservation unspent.
func (s *Share) Cancel(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.reserved -= units
}

// Enqueue counts units that a request waits for: an acquire asks for as many as all of them need. Dequeue must follow.
func (s *Share) Enqueue(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.enqueue(units)
}

// Dequeue counts units as waited for no longer.
func (s *Share) Dequeue(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.dequeue(units)
}

// WaitingCosts lists what the requests cost that wait now, in the order in which they came; nil where each costs a unit.
func (s *Share) WaitingCosts() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.unevenCosts()
}

// TransferInFlight reports whether the core has been asked and has not answered yet.
func (s *Share) TransferInFlight() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.inFlight
}

// Unanswered reports whether the core was asked for units and has not answered, and had enough of them when it last did: that
// there are too few here says nothing of the limit.
func (s *Share) Unanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.inFlight && s.transfers.acquiring && !s.contact.wasExhausted(time.Now(), scarceTTL)
}

// NextAnswer is closed by the core's next answer.
func (s *Share) NextAnswer() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact.nextAnswer
}

// Scarce reports whether the core lately had too few units left.
func (s *Share) Scarce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.contact.exhaustedUntil.IsZero() && time.Since(s.contact.exhaustedUntil) < scarceTTL
}

// RecordContact notes that the core was heard of.
func (s *Share) RecordContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.lastContact = time.Now()
}

// Stats returns how many units are held, how many may be reserved now, and how many were spent in the window.
func (s *Share) Stats() (held, free, spent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	free = s.free(time.Now())
	return s.entitlement.units, free, s.window.spent
}
