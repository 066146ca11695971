package quota

import "time"

// savingTTL is how long units are saved for a request that found too few: its client is asked to come back within this
// time, to whichever router.
const savingTTL = time.Second

// AcquireDivisor divides what is free: one acquire gets no more than that beyond what requests wait for. After a restart all
// routers acquire at once, and the first must not leave the others without any.
const AcquireDivisor = 8

// Saving divides the free units of one limit among acquires whose requests cost unequal numbers of them. A request gets
// all of its units or none: fractions of large costs, held by many routers, would be of use to nobody. While one was
// rejected lately, half of the units that become free are saved for requests as large as it; the other half is for
// smaller ones, so that neither starves beside the other. The zero value is ready. It has no lock: the core's run loop
// alone uses it.
type Saving struct {
	cost     int       // the largest that could not be met; 0: nothing is saved
	saved    int       // of the free units; at most cost
	lastFree int       // what the last acquire left
	until    time.Time // when saving ends
}

// Allocate is how many of the free units an acquire gets: for each of the costs in their order as far as there are enough,
// and beyond that as many as are wanted, up to a fraction of what is left (AcquireDivisor). Nothing is saved for a cost above
// the limit. It reports whether one of the costs was not met.
func (s *Saving) Allocate(now time.Time, free, limit int, costs []int, wanted int) (units int, unmet bool) {
	s.save(now, free)
	left, sum := free, 0
	for _, cost := range costs {
		sum += cost
		usable := left
		if cost < s.cost {
			usable -= s.saved
		}
		if cost > usable {
			unmet = true
			if cost <= limit {
				s.start(now, cost)
			}
			continue
		}
		left -= cost
		if s.cost > 0 && cost >= s.cost {
			*s = Saving{}
		}
	}
	if extra := min(wanted-sum, (left-s.saved+AcquireDivisor-1)/AcquireDivisor); extra > 0 && !unmet {
		left -= extra
	}
	s.lastFree = left
	s.saved = min(s.saved, left)
	return free - left, unmet
}

// save adds half of what has become free since the last acquire to what is saved.
func (s *Saving) save(now time.Time, free int) {
	if s.cost > 0 && now.After(s.until) {
		*s = Saving{}
	}
	if s.cost > 0 && free > s.lastFree {
		s.saved = min(s.cost, s.saved+(free-s.lastFree+1)/2)
	}
	s.saved = min(s.saved, free)
}

// start saves for a cost that could not be met, unless units are being saved for a larger one.
func (s *Saving) start(now time.Time, cost int) {
	if cost >= s.cost {
		s.cost, s.until = cost, now.Add(savingTTL)
	}
}
