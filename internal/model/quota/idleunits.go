package quota

import "time"

// How many idle units a share keeps at hand, so that units lie idle nowhere while another holder needs them. An equal
// share is the limit divided by the number of nodes.
const (
	firstShareDivisor = 4                      // a share without units asks for a fourth of an equal share
	smallShareUnits   = 2                      // from an equal share of so many units on, each node keeps some idle
	idleSpan          = 300 * time.Millisecond // what is spent in so long is kept at hand
	minIdle           = 2                      // and this, where an equal share is large enough

	// Where costs are uneven and the limit is not scarce, a share keeps a few requests' worth at hand, up to an eighth of
	// an equal share: while no core answers, requests that find units here need not wait for one.
	unevenIdleRequests = 2
	unevenShareDivisor = 8
	unevenIdleSpan     = time.Second // and what is spent in so long
)

// IsSmall reports whether a limit is too small for each node to keep a unit idle. With an unknown number of nodes (0) it
// counts as small.
func IsSmall(limit, nodes int) bool { return nodes == 0 || limit < smallShareUnits*nodes }

// wantedIdle is how many units should be at hand: those that requests want now, and some for the next ones. Where equal
// shares are smaller than a few units, a share that spends nothing holds none: they would lie idle everywhere. The same
// holds while the fleet is not known (nodes is 0): after a restart of all, each node would ask for units of every tenant.
// The caller holds the mutex and has expired the window.
func (s *Share) wantedIdle(now time.Time, nodes int) int {
	wanted, limit := s.demand.wanted(), s.entitlement.limit
	if s.entitlement.units == 0 && s.window.spent == 0 {
		if nodes == 0 {
			return wanted
		}
		return max(wanted, limit/(firstShareDivisor*nodes))
	}
	least := minIdle
	if IsSmall(limit, nodes) {
		if least = 0; s.isScarce(now) {
			return wanted // others wait for what would lie idle here
		}
	}
	span := idleSpan
	if s.demand.uneven && nodes > 0 && !s.isScarce(now) {
		span = unevenIdleSpan
		least = max(least, min(int(unevenIdleRequests*s.demand.averageCost), limit/(unevenShareDivisor*nodes)))
	}
	spentInSpan := float64(s.window.spent) * float64(span) / float64(max(s.window.length, span))
	return max(least, wanted, int(spentInSpan+0.999))
}

// isScarce reports whether units were too few lately: within a window where costs are even, since units come back with it.
// Uneven ones come back all the time. The caller holds the mutex.
func (s *Share) isScarce(now time.Time) bool {
	if s.demand.uneven {
		return s.contact.wasExhausted(now, scarceTTL)
	}
	return s.contact.wasExhausted(now, s.window.length)
}

// returnable is how many units go back to the pool: of those that are idle, more if they are scarce in the fleet, and in
// any case those above what may be in use. The caller holds the mutex and has expired the window.
func (s *Share) returnable(now time.Time, scarce bool, nodes int) int {
	idle := s.entitlement.units - s.window.inUse()
	units := 0
	if wanted := s.wantedIdle(now, nodes); scarce {
		units = s.returnableScarce(idle, nodes)
	} else if idle > 2*wanted {
		units = idle - wanted
	}
	if excess := s.entitlement.units - s.entitlement.usable(); excess > units {
		units = min(excess, idle)
	}
	return units
}

// returnableScarce is how many of the idle units go back while they are scarce in the fleet.
func (s *Share) returnableScarce(idle, nodes int) int {
	switch {
	case IsSmall(s.entitlement.limit, nodes) || s.demand.uneven:
		return idle - s.demand.wanted() // too few to be kept: all that is idle is wanted elsewhere
	case s.window.spent == 0 && s.demand.unmetCost == 0:
		return (idle + 1) / 2
	}
	return idle / 2
}
