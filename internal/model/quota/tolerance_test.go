package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// greedyFleet is a fleet of holders that draw and spend all they can, and die, in steps of time. It has no clock
// but its own, and its spends take no time, so that it comes as near to the limit as can be.
type greedyFleet struct {
	pool             Pool
	quota, tolerance int
	period, window   int // in steps
	keep             int // how long a charge counts
	now              int
	holders          map[string]*greedyHolder
	turn             uint64
	died             map[string]int
	charged          map[uint64]int
	spent            []int // units, by step
}

// greedyHolder is what a holder has, and when it spent which units.
type greedyHolder struct {
	run, units int
	spent      map[int]int
}

func newGreedyFleet(quota, tolerance, period, spans int) *greedyFleet {
	f := &greedyFleet{quota: quota, tolerance: tolerance, period: period, window: spans * period, holders: map[string]*greedyHolder{},
		died: map[string]int{}, charged: map[uint64]int{}}
	f.keep = f.window + f.period
	for _, name := range []string{"a", "b", "c"} {
		f.holders[name] = &greedyHolder{spent: map[int]int{}}
	}
	return f
}

func (f *greedyFleet) who(name string) string { return fmt.Sprintf("%s/%d", name, f.holders[name].run) }

// draw has a holder draw all that there is.
func (f *greedyFleet) draw(name string) {
	f.turn++
	f.charged[f.turn] = f.now
	f.holders[name].units, _ = f.pool.AcquireWithTolerance(f.who(name), f.turn, 1000, f.quota, f.tolerance, f.turn)
}

// spend has a holder spend all units that it has not spent within the period.
func (f *greedyFleet) spend(name string) {
	h := f.holders[name]
	usable := h.units
	if under := f.pool.LimitBase(f.quota); under > f.quota {
		usable = usable * f.quota / under
	}
	for at, units := range h.spent {
		if f.now-at < f.period {
			usable -= units
		}
	}
	if usable > 0 {
		h.spent[f.now] += usable
		f.spent[f.now] += usable
	}
}

// give has a holder give back what it has not spent.
func (f *greedyFleet) give(name string) {
	h := f.holders[name]
	idle := h.units
	for at, units := range h.spent {
		if f.now-at < f.period {
			idle -= units
		}
	}
	f.turn++
	h.units, _ = f.pool.Return(f.who(name), f.turn, max(idle, 0))
}

// die has a holder die and come back as another run.
func (f *greedyFleet) die(name string) {
	f.pool.StartCooling(f.who(name))
	f.died[f.who(name)] = f.now
	f.holders[name] = &greedyHolder{run: f.holders[name].run + 1, spent: map[int]int{}}
}

// step goes on to the next step of time, and ends what has had its time.
func (f *greedyFleet) step() {
	f.now++
	f.spent = append(f.spent, 0)
	for who, at := range f.died {
		if f.now-at >= f.period {
			f.pool.EndCooling(who)
			delete(f.died, who)
		}
	}
	for id, at := range f.charged {
		if f.now-at >= f.keep {
			f.pool.RemoveCharge(id)
			delete(f.charged, id)
		}
	}
}

// most is the largest sum over any span of so many steps.
func (f *greedyFleet) most(steps int) int {
	most := 0
	for i := range f.spent {
		sum := 0
		for _, units := range f.spent[i:min(len(f.spent), i+steps)] {
			sum += units
		}
		most = max(most, sum)
	}
	return most
}

// play has the fleet act at random, but each holder that draws spends often and dies often.
func (f *greedyFleet) play(rt *rapid.T) {
	f.spent = []int{0}
	for range rapid.IntRange(20, 120).Draw(rt, "acts") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "who")
		switch act := rapid.IntRange(0, 11).Draw(rt, "act"); {
		case act < 3:
			f.draw(name)
		case act < 6:
			f.spend(name)
		case act < 7:
			f.give(name)
		case act < 9:
			f.die(name)
		default:
			f.step()
		}
	}
}

// In any window the fleet spends no more than its periods' quotas and one tolerance, whoever draws, spends, gives
// and dies, several times in each period and in all periods.
func TestToleranceIsSpentOnceInAWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const spans = 3
		f := newGreedyFleet(rapid.IntRange(1, 30).Draw(rt, "quota"), rapid.IntRange(0, 40).Draw(rt, "tolerance"),
			rapid.IntRange(1, 4).Draw(rt, "period"), spans)
		f.play(rt)
		if got := f.most(f.window); got > spans*f.quota+f.tolerance {
			rt.Fatalf("%d units within a window, under %d quotas of %d and a tolerance of %d", got, spans, f.quota, f.tolerance)
		}
	})
}

// Holders that spend and die at once, all the time, get each tolerance once in a window. Were it charged for a
// shorter time, the window would be overspent.
func TestToleranceUnderDeathsAllTheTime(t *testing.T) {
	const quota, tolerance, period, spans = 10, 10, 4, 3
	for _, tooShort := range []bool{false, true} {
		f := newGreedyFleet(quota, tolerance, period, spans)
		if tooShort {
			f.keep = f.window - period
		}
		f.spent = []int{0}
		for range 4 * f.window {
			for _, name := range []string{"a", "b"} {
				f.draw(name)
				f.spend(name)
				f.die(name)
			}
			f.step()
		}
		if got := f.most(f.window); (got > spans*quota+tolerance) != tooShort || got < spans*quota+tolerance {
			t.Errorf("%d units at most within a window, charged too short: %v", got, tooShort)
		}
	}
}
