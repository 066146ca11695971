package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// tolerantPool is one tenant's pool with a tolerance, and the shares of some holders, whose answers get lost, which crash,
// and whose units cool.
type tolerantPool struct {
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

func newTolerantPool(limit, tolerance int, window, chargeTTL time.Duration) *tolerantPool {
	p := &tolerantPool{limit: limit, tolerance: tolerance, window: window, chargeTTL: chargeTTL, shares: map[string]*Share{},
		runs: map[string]int{}, coolingSince: map[string]time.Time{}, chargedAt: map[uint64]time.Time{}}
	for _, name := range sharedPoolHolders {
		p.shares[name] = NewShare()
	}
	return p
}

// step has one holder do one thing at random.
func (p *tolerantPool) step(rt *rapid.T) {
	name := rapid.SampledFrom(sharedPoolHolders).Draw(rt, "holder")
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
	case 8: // the holder crashes and comes back as another run
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

// acquire makes an acquire if one is called for. Its answer may be lost; then it is repeated.
func (p *tolerantPool) acquire(rt *rapid.T, holder string, share *Share) {
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

// endWhatIsOver ends the cooling and the charges that have had their time.
func (p *tolerantPool) expireCoolingAndCharges() {
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

// With a tolerance, no rolling window over all holders holds more than the limit and the tolerance, and no span of three
// windows more than three limits and one tolerance, whoever crashes and whenever, in each window too.
func TestToleranceOverAllHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			const window, windows = time.Second, 3
			limit, tolerance := rapid.IntRange(1, 60).Draw(rt, "limit"), rapid.IntRange(0, 20).Draw(rt, "tolerance")
			p := newTolerantPool(limit, tolerance, window, (windows+1)*window+Margin)
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

// greedyFleet is a fleet of holders that acquire and spend all they can, and crash, in steps of time. It has no clock
// but its own, and its spends take no time, so that it comes as near to the limit as can be.
type greedyFleet struct {
	pool             Pool
	limit, tolerance int
	period, window   int // in steps
	chargeTTL        int // how long a charge counts, in steps
	now              int
	holders          map[string]*greedyHolder
	sequence         uint64
	crashedAt        map[string]int // by holder that is gone
	chargedAt        map[uint64]int // by charge
	spent            []int          // units, by step
}

// greedyHolder is what a holder has, and when it spent which units.
type greedyHolder struct {
	run, units int
	spent      map[int]int
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

// acquire has a holder acquire all that there is.
func (f *greedyFleet) acquire(name string) {
	f.sequence++
	f.chargedAt[f.sequence] = f.now
	f.holders[name].units, _ = f.pool.AcquireWithTolerance(f.holder(name), f.sequence, 1000, f.limit, f.tolerance, f.sequence)
}

// spend has a holder spend all units that it has not spent within the period.
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

// giveBack has a holder return what it has not spent.
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

// crash has a holder crash and come back as another run.
func (f *greedyFleet) crash(name string) {
	f.pool.StartCooling(f.holder(name))
	f.crashedAt[f.holder(name)] = f.now
	f.holders[name] = &greedyHolder{run: f.holders[name].run + 1, spent: map[int]int{}}
}

// step goes on to the next step of time, and ends what has had its time.
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

// most is the largest sum over any span of so many steps.
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

// play has the fleet act at random, but each holder that acquires spends often and crashes often.
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

// In any window the fleet spends no more than its periods' limits and one tolerance, whoever acquires, spends, returns
// and crashes, several times in each period and in all periods.
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

// Holders that spend and crash at once, all the time, get each tolerance once in a window. Were it charged for a
// shorter time, the window would be overspent.
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
			t.Errorf("most units within a window, charged too short %v: got %d, want %d, or more if too short", tooShort, got, want)
		}
	}
}
