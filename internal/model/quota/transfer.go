package quota

import "time"

// returnInterval is how often idle units go back to the pool at most.
const returnInterval = time.Second

// Transfer moves units of one tenant between the core's pool and a share.
type Transfer struct {
	Tenant   string
	Sequence uint64 // of this holder and tenant: one that was applied already changes nothing
	Units    int
	Costs    []int // of the requests that wait for the acquire, where these differ; the rest of Units is to be kept at hand
	Return   bool  // units go back to the pool; else they are acquired from it
}

// transferSequence numbers a share's transfers, one at a time. The share's mutex guards it.
type transferSequence struct {
	last          uint64
	inFlight      bool
	acquiring     bool      // the one in flight is an acquire
	lastCompleted time.Time // zero: none was completed
}

// start gives the next transfer's number.
func (t *transferSequence) start(acquiring bool) uint64 {
	t.inFlight, t.acquiring = true, acquiring
	t.last++
	return t.last
}

// complete ends the transfer in flight, and reports whether that has this number.
func (t *transferSequence) complete(sequence uint64, now time.Time) bool {
	if sequence != t.last || !t.inFlight {
		return false
	}
	t.inFlight, t.lastCompleted = false, now
	return true
}

// NextAcquire starts an acquire if one is called for: it returns its sequence number and how many units to ask for. Until
// Apply is called no other transfer starts: one whose answer was lost is repeated with its number.
func (s *Share) NextAcquire(nodes int) (sequence uint64, units int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.transfers.inFlight || s.entitlement.limit == 0 || s.contact.backsOff(now) {
		return 0, 0, false
	}
	free := s.free(now)
	wanted := s.wantedIdle(now, nodes)
	if free >= max(s.demand.wanted(), (wanted+1)/2) {
		return 0, 0, false
	}
	return s.transfers.start(true), max(1, wanted-max(free, 0)), true
}

// NextReturn starts a return of idle units if one is called for: of more of them if the tenant's units are scarce in the
// fleet. They are struck off at once, before the core may allocate them to another holder. Until Apply is called no other
// transfer starts.
func (s *Share) NextReturn(scarce bool, nodes int) (sequence uint64, units int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if scarce {
		s.contact.lastExhausted = now
	}
	if s.transfers.inFlight || !scarce && now.Sub(s.transfers.lastCompleted) < s.minReturnInterval(nodes) {
		return 0, 0, false
	}
	s.window.expire(now)
	units = s.returnable(now, scarce, nodes)
	if units <= 0 {
		return 0, 0, false
	}
	s.entitlement.units -= units
	return s.transfers.start(false), units, true
}

// minReturnInterval is how long after a transfer the first idle units go back. Those of a small limit stay for a window:
// until they are wanted elsewhere, they save acquires here. The caller holds the mutex.
func (s *Share) minReturnInterval(nodes int) time.Duration {
	if IsSmall(s.entitlement.limit, nodes) {
		return max(returnInterval, s.window.length)
	}
	return returnInterval
}

// Apply ends the transfer in flight with the core's answer: how many units are held now, and the limit base that they are
// measured against. An answer to another transfer changes nothing.
func (s *Share) Apply(sequence uint64, held, limitBase int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.transfers.complete(sequence, now) {
		return
	}
	exhausted := s.transfers.acquiring && held <= s.entitlement.units
	s.entitlement.units, s.entitlement.limitBase = held, limitBase
	s.demand.unmetCost = 0
	s.contact.recordAnswer(now, exhausted)
}
