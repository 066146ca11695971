package quota

import "time"

// savingTTL is how long units are saved for a request that was rejected for lack of units. Its client is asked to retry within
// this time, at any router.
const savingTTL = time.Second

// AcquireDivisor limits the units that an acquire gets beyond those for waiting requests: to the free units divided by this.
// After a restart of the fleet all routers acquire at once, and the first ones must leave units for the others.
const AcquireDivisor = 8

// Saving divides the free units of one limit among acquires for requests of unequal cost. It allocates all units of a request's
// cost or none: if many routers each had a fraction of a large cost, none of them could admit the request. After a request was
// rejected, half of the units that become free are saved for requests at least as large, until one is met or savingTTL is over.
// The other half remains for smaller requests, so that neither kind starves the other. The zero value is ready to use. A Saving
// is not safe for concurrent use: only the core's run loop uses it.
type Saving struct {
	cost      int       // units are saved for requests of at least this cost; 0: nothing is saved
	saved     int       // number of free units that are saved; at most cost
	lastFree  int       // free units left by the last acquire
	expiresAt time.Time // when saving ends
}

// Allocate returns how many of the free units an acquire gets, and whether any of its costs was not met. It goes through the
// costs in order and allocates each one for which enough units remain. If all were met, it adds the rest of the requested units,
// up to a fraction of the remaining ones (AcquireDivisor). Nothing is saved for a cost above the limit.
func (s *Saving) Allocate(now time.Time, free, limit int, costs []int, requested int) (units int, unmet bool) {
	s.saveFreed(now, free)
	remaining, sum := free, 0
	for _, cost := range costs {
		sum += cost
		usable := remaining
		if cost < s.cost {
			usable -= s.saved
		}
		if cost > usable {
			unmet = true
			if cost <= limit {
				s.startSaving(now, cost)
			}
			continue
		}
		remaining -= cost
		if s.cost > 0 && cost >= s.cost {
			*s = Saving{}
		}
	}
	if extra := min(requested-sum, (remaining-s.saved+AcquireDivisor-1)/AcquireDivisor); extra > 0 && !unmet {
		remaining -= extra
	}
	s.lastFree = remaining
	s.saved = min(s.saved, remaining)
	return free - remaining, unmet
}

// saveFreed saves half of the units that became free since the last acquire. It first ends saving whose time is over.
func (s *Saving) saveFreed(now time.Time, free int) {
	if s.cost > 0 && now.After(s.expiresAt) {
		*s = Saving{}
	}
	if s.cost > 0 && free > s.lastFree {
		s.saved = min(s.cost, s.saved+(free-s.lastFree+1)/2)
	}
	s.saved = min(s.saved, free)
}

// startSaving starts saving for a cost that was not met, unless units are being saved for a larger one.
func (s *Saving) startSaving(now time.Time, cost int) {
	if cost >= s.cost {
		s.cost, s.expiresAt = cost, now.Add(savingTTL)
	}
}
