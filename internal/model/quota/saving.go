package quota

import "time"

// savingFor is how long units are saved for a request that found too few: its client is asked to come back within this
// time, to whichever router.
const savingFor = time.Second

// AcquireDivisor is the part of what is free that one draw may get beyond what requests wait for: after a restart all routers
// draw at once, and the first must not leave the others without any.
const AcquireDivisor = 8

// Saving shares out the free units of one quota among draws whose requests cost unequal numbers of them. A request gets
// all of its units or none: parts of large costs, held by many routers, would be of use to nobody. While one was
// refused lately, half of the units that become free are saved for requests as large as it; the other half is for
// smaller ones, so that neither starves beside the other. The zero value is ready.
type Saving struct {
	cost     int       // that could not be paid
	saved    int       // of the free units; at most cost
	lastFree int       // what the last draw left
	until    time.Time // it ends
}

// Allocate gives the units that a draw gets of those that are free: for each of the costs in their order as far as there are
// enough, and beyond that as many as are wanted, up to a part of what is left. Nothing is saved for a cost above most,
// the whole quota. short: one of the costs was not paid.
func (s *Saving) Allocate(now time.Time, free, most int, costs []int, wanted int) (units int, short bool) {
	s.save(now, free)
	left, sum := free, 0
	for _, cost := range costs {
		sum += cost
		usable := left
		if cost < s.cost {
			usable -= s.saved
		}
		if cost > usable {
			short = true
			if cost <= most {
				s.begin(now, cost)
			}
			continue
		}
		left -= cost
		if s.cost > 0 && cost >= s.cost {
			*s = Saving{}
		}
	}
	if extra := min(wanted-sum, (left-s.saved+AcquireDivisor-1)/AcquireDivisor); extra > 0 && !short {
		left -= extra
	}
	s.lastFree = left
	s.saved = min(s.saved, left)
	return free - left, short
}

// save adds half of what has become free since the last draw to what is saved.
func (s *Saving) save(now time.Time, free int) {
	if s.cost > 0 && now.After(s.until) {
		*s = Saving{}
	}
	if s.cost > 0 && free > s.lastFree {
		s.saved = min(s.cost, s.saved+(free-s.lastFree+1)/2)
	}
	s.saved = min(s.saved, free)
}

// begin saves for a cost that could not be paid, unless it is done for a larger one.
func (s *Saving) begin(now time.Time, cost int) {
	if cost >= s.cost {
		s.cost, s.until = cost, now.Add(savingFor)
	}
}
