package quota

import "time"

// returnInterval is the minimum time from a transfer to a return of idle units, unless the units are scarce.
const returnInterval = time.Second

// Transfer moves units of one tenant's limit between the core's pool and a share.
type Transfer struct {
	Tenant   string
	Sequence uint64 // per holder and tenant; a transfer that was already applied changes nothing
	Units    int
	Costs    []int // of the requests waiting for the acquire, if costs are uneven; the rest of Units is for later requests
	Return   bool  // true: units are returned to the pool; false: units are acquired from it
}

// transferSequence numbers a share's transfers and allows one in flight at a time. The share's mutex guards it.
type transferSequence struct {
	last          uint64
	inFlight      bool
	acquiring     bool      // whether the last transfer started is an acquire
	lastCompleted time.Time // zero if none was completed
}

// start begins a transfer and returns its sequence number.
func (t *transferSequence) start(acquiring bool) uint64 {
	t.inFlight, t.acquiring = true, acquiring
	t.last++
	return t.last
}

// complete ends the transfer in flight if it has this sequence number, and reports whether it has.
func (t *transferSequence) complete(sequence uint64, now time.Time) bool {
	if sequence != t.last || !t.inFlight {
		return false
	}
	t.inFlight, t.lastCompleted = false, now
	return true
}

// NextAcquire starts an acquire if more units are needed. It returns the acquire's sequence number and how many units to
// request. No other transfer starts until Apply is called: if the response is lost, the same transfer is repeated with its
// sequence number.
func (s *Share) NextAcquire(nodes int) (sequence uint64, units int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.transfers.inFlight || s.entitlement.limit == 0 || s.contact.inBackoff(now) {
		return 0, 0, false
	}
	free := s.free(now)
	target := s.targetIdle(now, nodes)
	if free >= max(s.demand.requiredUnits(), (target+1)/2) {
		return 0, 0, false
	}
	return s.transfers.start(true), max(1, target-max(free, 0)), true
}

// NextReturn starts a return of idle units if there are enough of them. If the tenant's units are scarce in the fleet, more are
// returned, and without waiting for the return interval. They are deducted from the share at once, before the core can allocate
// them to another holder. No other transfer starts until Apply is called.
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

// minReturnInterval returns the minimum time from a transfer to a return. Idle units of a small limit are kept for a window:
// as long as they are not scarce, they save acquires. The caller must hold the mutex.
func (s *Share) minReturnInterval(nodes int) time.Duration {
	if IsSmall(s.entitlement.limit, nodes) {
		return max(returnInterval, s.window.length)
	}
	return returnInterval
}

// Apply completes the transfer in flight with the core's response: the units now allocated to this share, and their limit base
// (see Pool.LimitBase). A response to any other transfer is ignored.
func (s *Share) Apply(sequence uint64, allocated, limitBase int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.transfers.complete(sequence, now) {
		return
	}
	exhausted := s.transfers.acquiring && allocated <= s.entitlement.units
	s.entitlement.units, s.entitlement.limitBase = allocated, limitBase
	s.demand.unmetCost = 0
	s.contact.recordResponse(now, exhausted)
}
