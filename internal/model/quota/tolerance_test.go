package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// toleranceSimulation is one tenant's pool with a tolerance and the shares of several holders. Responses to holders are lost,
// holders crash, and their units cool.
type toleranceSimulation struct {
	pool             Pool
	limit, tolerance int
	window           time.Duration
	chargeTTL        time.Duration
	shares           map[string]*Share
	runs             map[string]int       // by name; each run is another holder
	coolingSince     map[string]time.Time // by holder
	lastCharge       uint64
	chargedAt        map[uint64]time.Time
	spends           []spend
}

func newToleranceSimulation(limit, tolerance int, window, chargeTTL time.Duration) *toleranceSimulation {
	p := &toleranceSimulation{limit: limit, tolerance: tolerance, window: window, chargeTTL: chargeTTL, shares: map[string]*Share{},
		runs: map[string]int{}, coolingSince: map[string]time.Time{}, chargedAt: map[uint64]time.Time{}}
	for _, name := range simulatedHolders {
		p.shares[name] = NewShare()
	}
	return p
}

// step performs one random action of a random holder.
func (p *toleranceSimulation) step(rt *rapid.T) {
	name := rapid.SampledFrom(simulatedHolders).Draw(rt, "holder")
	share, holder := p.shares[name], fmt.Sprintf("%s/%d", name, p.runs[name])
	switch rapid.IntRange(0, 10).Draw(rt, "step") {
	case 0, 1, 2, 3:
		p.acquire(rt, holder, share)
	case 4, 5, 6:
		for {
			if ok, _ := share.Reserve(1); !ok {
				break
			}
			share.Commit(1)
			p.spends = append(p.spends, spend{1, time.Now()})
		}
	case 7:
		time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
	case 8: // the holder crashes, and its next run is another holder
		p.pool.StartCooling(holder)
		p.coolingSince[holder] = time.Now()
		p.runs[name]++
		p.shares[name] = NewShare()
	case 9:
		p.expireCoolingAndCharges()
	case 10:
		if sequence, units, ok := share.NextReturn(rapid.Bool().Draw(rt, "scarce"), 4); ok {
			allocated, _ := p.pool.Return(holder, sequence, units)
			share.Apply(sequence, allocated, p.pool.LimitBase(p.limit))
		}
	}
}

// acquire runs an acquire if the share needs one. Its response may be lost; then the acquire is repeated.
func (p *toleranceSimulation) acquire(rt *rapid.T, holder string, share *Share) {
	share.SetLimit(p.limit, p.window)
	sequence, units, ok := share.NextAcquire(4)
	if !ok {
		return
	}
	p.lastCharge++
	p.chargedAt[p.lastCharge] = time.Now()
	allocated, _ := p.pool.AcquireWithTolerance(holder, sequence, units, p.limit, p.tolerance, p.lastCharge)
	if rapid.Bool().Draw(rt, "lost") {
		allocated, _ = p.pool.AcquireWithTolerance(holder, sequence, units, p.limit, p.tolerance, p.lastCharge)
	}
	share.Apply(sequence, allocated, p.pool.LimitBase(p.limit))
}

// expireCoolingAndCharges ends cooling after the window and its margin, and removes charges after chargeTTL.
func (p *toleranceSimulation) expireCoolingAndCharges() {
	for holder, since := range p.coolingSince {
		if time.Since(since) > p.window+Margin {
			p.pool.EndCooling(holder)
			delete(p.coolingSince, holder)
		}
	}
	for id, at := range p.chargedAt {
		if time.Since(at) > p.chargeTTL {
			p.pool.RemoveCharge(id)
			delete(p.chargedAt, id)
		}
	}
}

// With a tolerance, the spends of all holders stay within the limit plus the tolerance in any rolling window, and within three
// limits plus one tolerance in any span of three windows, whichever holders crash and however often.
func TestToleranceOverAllHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			const window, windows = time.Second, 3
			limit, tolerance := rapid.IntRange(1, 60).Draw(rt, "limit"), rapid.IntRange(0, 20).Draw(rt, "tolerance")
			p := newToleranceSimulation(limit, tolerance, window, (windows+1)*window+Margin)
			for range rapid.IntRange(20, 150).Draw(rt, "steps") {
				p.step(rt)
			}
			if got, want := maxInWindow(p.spends, window), limit+tolerance; got > want {
				rt.Fatalf("units within a window: got %d, want at most %d", got, want)
			}
			if got, want := maxInWindow(p.spends, windows*window), windows*limit+tolerance; got > want {
				rt.Fatalf("units within %d windows: got %d, want at most %d", windows, got, want)
			}
		})
	})
}

// greedyFleet is a fleet of holders that acquire and spend as many units as they can, and crash. It uses discrete time steps
// instead of a clock, and its spends take no time, so that it gets as close to the limit as possible.
type greedyFleet struct {
	pool             Pool
	limit, tolerance int
	period, window   int // in steps
	chargeTTL        int // how long a charge counts, in steps
	now              int
	holders          map[string]*greedyHolder
	sequence         uint64
	crashedAt        map[string]int // by holder
	chargedAt        map[uint64]int // by charge ID
	spent            []int          // units, by step
}

// greedyHolder holds a holder's allocated units and its spends.
type greedyHolder struct {
	run, units int
	spent      map[int]int // units, by step
}

func newGreedyFleet(limit, tolerance, period, periods int) *greedyFleet {
	f := &greedyFleet{limit: limit, tolerance: tolerance, period: period, window: periods * period, holders: map[string]*greedyHolder{},
		crashedAt: map[string]int{}, chargedAt: map[uint64]int{}}
	f.chargeTTL = f.window + f.period
	for _, name := range []string{"a", "b", "c"} {
		f.holders[name] = &greedyHolder{spent: map[int]int{}}
	}
	return f
}

func (f *greedyFleet) holder(name string) string {
	return fmt.Sprintf("%s/%d", name, f.holders[name].run)
}

// acquire makes a holder acquire all units that it can get.
func (f *greedyFleet) acquire(name string) {
	f.sequence++
	f.chargedAt[f.sequence] = f.now
	f.holders[name].units, _ = f.pool.AcquireWithTolerance(f.holder(name), f.sequence, 1000, f.limit, f.tolerance, f.sequence)
}

// spend makes a holder spend all usable units that it has not spent within the period.
func (f *greedyFleet) spend(name string) {
	holder := f.holders[name]
	usable := holder.units
	if limitBase := f.pool.LimitBase(f.limit); limitBase > f.limit {
		usable = usable * f.limit / limitBase
	}
	for at, units := range holder.spent {
		if f.now-at < f.period {
			usable -= units
		}
	}
	if usable > 0 {
		holder.spent[f.now] += usable
		f.spent[f.now] += usable
	}
}

// returnIdle makes a holder return all units that it has not spent within the period.
func (f *greedyFleet) returnIdle(name string) {
	holder := f.holders[name]
	idle := holder.units
	for at, units := range holder.spent {
		if f.now-at < f.period {
			idle -= units
		}
	}
	f.sequence++
	holder.units, _ = f.pool.Return(f.holder(name), f.sequence, max(idle, 0))
}

// crash makes a holder crash; its next run is another holder.
func (f *greedyFleet) crash(name string) {
	f.pool.StartCooling(f.holder(name))
	f.crashedAt[f.holder(name)] = f.now
	f.holders[name] = &greedyHolder{run: f.holders[name].run + 1, spent: map[int]int{}}
}

// step advances to the next time step, and ends cooling and charges that have expired.
func (f *greedyFleet) step() {
	f.now++
	f.spent = append(f.spent, 0)
	for gone, at := range f.crashedAt {
		if f.now-at >= f.period {
			f.pool.EndCooling(gone)
			delete(f.crashedAt, gone)
		}
	}
	for id, at := range f.chargedAt {
		if f.now-at >= f.chargeTTL {
			f.pool.RemoveCharge(id)
			delete(f.chargedAt, id)
		}
	}
}

// maxInSpan returns the largest number of units spent in any span of this many steps.
func (f *greedyFleet) maxInSpan(steps int) int {
	maxInSpan := 0
	for i := range f.spent {
		sum := 0
		for _, units := range f.spent[i:min(len(f.spent), i+steps)] {
			sum += units
		}
		maxInSpan = max(maxInSpan, sum)
	}
	return maxInSpan
}

// run performs random actions, with a bias toward acquiring, spending and crashing.
func (f *greedyFleet) run(rt *rapid.T) {
	f.spent = []int{0}
	for range rapid.IntRange(20, 120).Draw(rt, "acts") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder")
		switch action := rapid.IntRange(0, 11).Draw(rt, "act"); {
		case action < 3:
			f.acquire(name)
		case action < 6:
			f.spend(name)
		case action < 7:
			f.returnIdle(name)
		case action < 9:
			f.crash(name)
		default:
			f.step()
		}
	}
}

// In any window of several periods, the fleet spends at most one limit per period plus one tolerance, whichever holders acquire,
// spend, return and crash, and however often.
func TestToleranceSpentOnceInWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const periods = 3
		f := newGreedyFleet(rapid.IntRange(1, 30).Draw(rt, "limit"), rapid.IntRange(0, 40).Draw(rt, "tolerance"),
			rapid.IntRange(1, 4).Draw(rt, "period"), periods)
		f.run(rt)
		if got, want := f.maxInSpan(f.window), periods*f.limit+f.tolerance; got > want {
			rt.Fatalf("units within a window: got %d, want at most %d", got, want)
		}
	})
}

// Holders that continually acquire, spend and crash can use the tolerance once per window. With charges that expire too soon,
// they would exceed the window's limit.
func TestToleranceUnderConstantCrashes(t *testing.T) {
	const limit, tolerance, period, periods = 10, 10, 4, 3
	const want = periods*limit + tolerance
	for _, tooShort := range []bool{false, true} {
		f := newGreedyFleet(limit, tolerance, period, periods)
		if tooShort {
			f.chargeTTL = f.window - period
		}
		f.spent = []int{0}
		for range 4 * f.window {
			for _, name := range []string{"a", "b"} {
				f.acquire(name)
				f.spend(name)
				f.crash(name)
			}
			f.step()
		}
		if got := f.maxInSpan(f.window); (got > want) != tooShort || got < want {
			t.Errorf("most units within a window, charges expire too soon %v: got %d, want %d, or more if charges expire too soon", tooShort, got, want)
		}
	}
}
