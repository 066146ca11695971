package quota

import (
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Share is the part of one tenant's limit that is allocated to this router. All methods may be called concurrently; none
// blocks.
type Share struct {
	mu          sync.Mutex // guards all fields below
	entitlement entitlement
	window      tokenWindow
	contact     coreContact
	demand      demand
	transfers   transferSequence
}

// NewShare returns a share to which no units are allocated yet.
func NewShare() *Share { return newShare(Margin) }

func newShare(margin time.Duration) *Share {
	return &Share{window: tokenWindow{margin: margin}, contact: newCoreContact(time.Now())}
}

// SetLimit sets the tenant's configured limit: the units that may be spent in any window. A lowered limit takes effect at
// once: the usable units of this share shrink in proportion.
func (s *Share) SetLimit(units int, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entitlement.limit = units
	s.window.setLength(window)
}

// free returns how many units may be reserved now. It is negative if, after the limit was lowered, more units are in use than
// are usable. The caller must hold the mutex.
func (s *Share) free(now time.Time) int {
	s.window.expire(now)
	return s.entitlement.usable() - s.window.inUse()
}

// Bounds of the retry delay of a rejected request.
const (
	minRetryAfter         = 300 * time.Millisecond // time for other routers to learn of the shortage and return idle units
	maxRetryAfter         = time.Second            // units that other routers spent may be free again at any time
	lostContactRetryAfter = time.Minute            // no units can be spent before contact with the core is restored
)

// Reserve reserves units for a request; if it succeeds, Commit or Cancel must follow. If there are too few free units, it
// returns false and the delay after which to retry.
func (s *Share) Reserve(units int) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.demand.observe(units)
	if s.contact.isLost(now) {
		return false, lostContactRetryAfter
	}
	if s.free(now) < units && !faultinjection.Disabled("quota") {
		s.demand.recordRejection(units)
		return false, s.retryAfter(units, now)
	}
	s.window.reserved += units
	return true, 0
}

// retryAfter returns the delay after which to retry a rejected reservation: until units committed here are released, or until
// other routers may have returned some. The caller must hold the mutex and have expired the window.
func (s *Share) retryAfter(units int, now time.Time) time.Duration {
	release, ok := s.window.untilRelease(now)
	if !ok || s.entitlement.units < units {
		return minRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, release))
}

// Commit turns reserved units into committed ones. It is called when the request is sent to a runner.
func (s *Share) Commit(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.commit(units, time.Now())
}

// Cancel releases reserved units without spending them.
func (s *Share) Cancel(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.reserved -= units
}

// Enqueue adds the units that a request waits for to the demand: an acquire requests units for all waiting requests. Dequeue
// must follow.
func (s *Share) Enqueue(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.enqueue(units)
}

// Dequeue removes the units of a request that waits no longer from the demand.
func (s *Share) Dequeue(units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.dequeue(units)
}

// WaitingCosts returns the costs of the waiting requests in order of arrival, at most maxWaitingCosts of them; nil if all
// requests so far cost one unit.
func (s *Share) WaitingCosts() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.unevenCosts()
}

// TransferInFlight reports whether a transfer was started to which the core has not responded yet.
func (s *Share) TransferInFlight() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.inFlight
}

// Unanswered reports whether an acquire is in flight and the pool was not exhausted recently. Then it is unknown whether the
// limit is spent, even if this share has too few units.
func (s *Share) Unanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.inFlight && s.transfers.acquiring && !s.contact.exhaustedWithin(time.Now(), scarceTTL)
}

// NextResponse returns a channel that is closed on the core's next response.
func (s *Share) NextResponse() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact.nextResponse
}

// Scarce reports whether the core recently had no units for an acquire (see scarceTTL).
func (s *Share) Scarce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.contact.backoffUntil.IsZero() && time.Since(s.contact.backoffUntil) < scarceTTL
}

// RecordContact records that this router is in contact with the core now.
func (s *Share) RecordContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.lastContact = time.Now()
}

// Stats returns how many units are allocated to the share, how many may be reserved now, and how many were committed within
// the window.
func (s *Share) Stats() (allocated, free, spent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	free = s.free(time.Now())
	return s.entitlement.units, free, s.window.spent
}
