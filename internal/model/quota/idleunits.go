package quota

import "time"

// These constants determine how many idle units a share keeps for the next requests. They are low enough that few units are
// idle at one holder while another needs them. An equal share is the limit divided by the number of nodes.
const (
	firstAcquireDivisor = 4                      // a share without units acquires an equal share divided by this
	smallShareUnits     = 2                      // if an equal share has at least so many units, each node keeps some idle
	idleSpan            = 300 * time.Millisecond // a share keeps the units that it spends on average in this time
	minIdle             = 2                      // minimum of idle units to keep, unless the limit is small

	// If costs are uneven and the limit is not scarce, a share keeps enough for a few requests of average cost, up to an eighth
	// of an equal share, so that these requests need not wait for a core that does not respond.
	unevenIdleRequests = 2
	unevenShareDivisor = 8
	unevenIdleSpan     = time.Second // takes the place of idleSpan
)

// IsSmall reports whether a limit is too small for each node to keep idle units. If the number of nodes is unknown (0), every
// limit counts as small.
func IsSmall(limit, nodes int) bool { return nodes == 0 || limit < smallShareUnits*nodes }

// targetIdle returns how many idle units the share should have: those that requests need now, and some for the next requests.
// If the limit is small, a share that spends nothing keeps none, since otherwise most units would be idle at some node. The same
// applies while the number of nodes is unknown (0), since otherwise each node would acquire units of every tenant after a
// restart of the whole fleet. The caller must hold the mutex and have expired the window.
func (s *Share) targetIdle(now time.Time, nodes int) int {
	required, limit := s.demand.requiredUnits(), s.entitlement.limit
	if s.entitlement.units == 0 && s.window.spent == 0 {
		if nodes == 0 {
			return required
		}
		return max(required, limit/(firstAcquireDivisor*nodes))
	}
	minimum := minIdle
	if IsSmall(limit, nodes) {
		if minimum = 0; s.isScarce(now) {
			return required // requests at other nodes wait for any unit that is idle here
		}
	}
	span := idleSpan
	if s.demand.uneven && nodes > 0 && !s.isScarce(now) {
		span = unevenIdleSpan
		minimum = max(minimum, min(int(unevenIdleRequests*s.demand.averageCost), limit/(unevenShareDivisor*nodes)))
	}
	spentInSpan := float64(s.window.spent) * float64(span) / float64(max(s.window.length, span))
	return max(minimum, required, int(spentInSpan+0.999))
}

// isScarce reports whether the pool was exhausted recently. If every request costs one unit, this means within the last window,
// after which the units spent in it are free again. If costs are uneven, units become free all the time, and scarceTTL applies.
// The caller must hold the mutex.
func (s *Share) isScarce(now time.Time) bool {
	if s.demand.uneven {
		return s.contact.exhaustedWithin(now, scarceTTL)
	}
	return s.contact.exhaustedWithin(now, s.window.length)
}

// returnable returns how many idle units to return to the pool: more of them if units are scarce in the fleet, and in any case
// those that exceed the usable units. The caller must hold the mutex and have expired the window.
func (s *Share) returnable(now time.Time, scarce bool, nodes int) int {
	idle := s.entitlement.units - s.window.inUse()
	units := 0
	if target := s.targetIdle(now, nodes); scarce {
		units = s.returnableScarce(idle, nodes)
	} else if idle > 2*target {
		units = idle - target
	}
	if excess := s.entitlement.units - s.entitlement.usable(); excess > units {
		units = min(excess, idle)
	}
	return units
}

// returnableScarce returns how many of the idle units to return while units are scarce in the fleet.
func (s *Share) returnableScarce(idle, nodes int) int {
	switch {
	case IsSmall(s.entitlement.limit, nodes) || s.demand.uneven:
		return idle - s.demand.requiredUnits() // other nodes need every unit that is not required here
	case s.window.spent == 0 && s.demand.unmetCost == 0:
		return (idle + 1) / 2
	}
	return idle / 2
}
