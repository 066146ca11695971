package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/lib/daemon"
)

// A draw never gets more than is free, and of what it gets each request is paid whole: without a refusal all of them are.
func TestSavingGivesWhatIsFree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var saving Saving
		now := time.Unix(0, 0)
		const most = 10_000
		free := most
		for range rapid.IntRange(1, 60).Draw(rt, "draws") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			free = min(most, free+rapid.IntRange(0, 3000).Draw(rt, "back"))
			costs := rapid.SliceOfN(rapid.IntRange(1, 4000), 0, 5).Draw(rt, "costs")
			sum := 0
			for _, cost := range costs {
				sum += cost
			}
			units, short := saving.Allocate(now, free, most, costs, sum+rapid.IntRange(0, 500).Draw(rt, "reserve"))
			if units < 0 || units > free {
				rt.Fatalf("%d of %d free units given", units, free)
			}
			if !short && units < sum {
				rt.Fatalf("%d units for costs of %d, and none refused", units, sum)
			}
			free -= units
		}
	})
}

// Large and small requests want more than there is, all the time: each kind gets its part.
func TestNeitherLargeNorSmallStarve(t *testing.T) {
	var saving Saving
	now, free := time.Unix(0, 0), 0
	const most, large, small, back = 100_000, 40_000, 300, 900
	got := map[int]int{}
	for step := range 20_000 {
		now = now.Add(2 * time.Millisecond)
		free = min(most, free+back)
		cost, costs := small, []int{small, small, small, small} // more than becomes free meanwhile
		if step%5 == 0 {
			cost, costs = large, []int{large} // asked for again and again, as by clients that come back
		}
		units, _ := saving.Allocate(now, free, most, costs, cost*len(costs))
		free -= units
		got[cost] += units
	}
	whole := got[large] + got[small]
	if got[large] < whole/4 || got[small] < whole/4 {
		t.Errorf("%d units went to large requests, %d to small ones", got[large], got[small])
	}
}

// What nobody can pay is not saved for.
func TestNothingIsSavedForTheImpossible(t *testing.T) {
	var saving Saving
	now := time.Unix(0, 0)
	if units, short := saving.Allocate(now, 1000, 1000, []int{2000}, 2000); units != 0 || !short {
		t.Fatalf("%d units for what the quota can't give, short %v", units, short)
	}
	if units, short := saving.Allocate(now, 1000, 1000, []int{900}, 900); units != 900 || short {
		t.Errorf("%d of 1000 units given, 900 expected", units)
	}
}

// unevenCrowd is routers that draw from one pool as the core lets them.
type unevenCrowd struct {
	mu     sync.Mutex
	pool   Pool
	saving Saving
	quota  atomic.Int64
	short  atomic.Bool
	shares []*Shares
}

func newUnevenCrowd(ctx context.Context, count, quota int, window time.Duration) *unevenCrowd {
	c := &unevenCrowd{}
	c.quota.Store(int64(quota))
	for i := range count {
		who := string(rune('a' + i))
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, move Transfer) (int, int, error) {
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
				return c.move(who, move)
			},
			Nodes: func() int { return count },
			ScarceTenants: func() []string {
				if c.short.Load() {
					return []string{"t"}
				}
				return nil
			},
			Rules:     func() []Rule { return []Rule{{"t", int(c.quota.Load()), window}} },
			InContact: func() bool { return true }, Margin: 50 * time.Millisecond})
		go shares.Run()
		c.shares = append(c.shares, shares)
	}
	return c
}

func (c *unevenCrowd) move(who string, move Transfer) (int, int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quota := int(c.quota.Load())
	if move.Return {
		have, _ := c.pool.Return(who, move.Sequence, move.Units)
		return have, c.pool.LimitBase(quota), nil
	}
	free := max(0, quota-c.pool.AllocatedUnits())
	units, short := min(move.Units, (free+AcquireDivisor-1)/AcquireDivisor), false
	if len(move.Costs) > 0 {
		units, short = c.saving.Allocate(time.Now(), free, quota, move.Costs, move.Units)
	}
	have, _ := c.pool.Acquire(who, move.Sequence, units, quota)
	c.short.Store(short || free-units < quota/8)
	return have, c.pool.LimitBase(quota), nil
}

// spentUnits is one request that was let in.
type spentUnits struct {
	at    time.Time
	units int
}

// play sends requests of unequal costs at random routers, and gives what was let in and refused.
func (c *unevenCrowd) play(ctx context.Context, count int, every time.Duration, cost func() int) (spent, refused []spentUnits) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range count {
		time.Sleep(every)
		all.Go(func() {
			units := cost()
			shares := c.shares[rand.IntN(len(c.shares))]
			ok, _ := shares.Reserve(ctx, "t", units)
			if ok {
				shares.For("t").Commit(units)
			}
			mu.Lock()
			defer mu.Unlock()
			one := spentUnits{time.Now(), units}
			if ok {
				spent = append(spent, one)
			} else {
				refused = append(refused, one)
			}
		})
	}
	all.Wait()
	return spent, refused
}

// mostIn is the most units that a window holds.
func mostIn(spent []spentUnits, window time.Duration) int {
	most := 0
	for i := range spent {
		sum := 0
		for _, one := range spent[i:] {
			if one.at.Sub(spent[i].at) < window {
				sum += one.units
			}
		}
		most = max(most, sum)
	}
	return most
}

// unevenCost is that of short questions beside long summaries.
func unevenCost() int {
	if rand.IntN(7) == 0 {
		return 10_000 + rand.IntN(20_000)
	}
	return 100 + rand.IntN(600)
}

// A tenant that stays under its limit, by seven tenths of it in the mean, is refused next to nothing, whatever its requests
// cost, and however many routers they come to.
func TestUnevenCostsUnderTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer end()
		const window = 8 * time.Second
		perWindow := 80 * (20_000/7 + 350) // a request each 100 ms
		quota := perWindow * 10 / 7
		c := newUnevenCrowd(ctx, 20, quota, window)
		time.Sleep(time.Second)
		spent, refused := c.play(ctx, 900, 100*time.Millisecond, unevenCost)
		if most := mostIn(spent, window); most > quota {
			t.Errorf("%d units in a window of a quota of %d", most, quota)
		}
		if len(refused) > 45 {
			t.Errorf("%d of 900 requests refused", len(refused))
		}
	})
}

// A tenant asks for ten times its limit, which then is lowered: no window holds
// more than its limit, and what is let in comes to most of it.
func TestFloodOfUnevenCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer end()
		const window, quota = 8 * time.Second, 250_000
		c := newUnevenCrowd(ctx, 20, quota, window)
		time.Sleep(time.Second)
		spent, refused := c.play(ctx, 3000, 10*time.Millisecond, unevenCost)
		if most := mostIn(spent, window); most > quota {
			t.Errorf("%d units in a window of a quota of %d", most, quota)
		}
		sums := map[bool]int{}
		for _, one := range spent {
			sums[one.units >= 10_000] += one.units
		}
		if all := sums[true] + sums[false]; all < quota*30/8*7/10 {
			t.Errorf("%d units let in over 30s, of %d in each 8s", all, quota)
		}
		if sums[false] == 0 || sums[true] == 0 {
			t.Errorf("%d units of large requests and %d of small ones let in", sums[true], sums[false])
		}
		t.Logf("%d let in, %d refused, %d units of large requests, %d of small ones", len(spent), len(refused), sums[true], sums[false])
		c.quota.Store(quota / 4)
		time.Sleep(time.Second) // the routers take up the lower quota within half a second
		time.Sleep(window)
		spent, _ = c.play(ctx, 1500, 10*time.Millisecond, unevenCost)
		if most := mostIn(spent, window); most > quota/4 {
			t.Errorf("%d units in a window of a quota lowered to %d", most, quota/4)
		}
	})
}

// A holder keeps a few requests' worth of uneven units at hand while the quota is not scarce, so that small requests need no
// core; it takes no more than a part of an equal part, and keeps nothing that nobody waits for once units are scarce.
func TestUnevenReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quota, nodes, cost = 640_000, 40, 400
		p := NewShare()
		p.SetLimit(quota, 8*time.Second)
		draw := func() int {
			turn, units, ok := p.NextAcquire(nodes)
			if !ok {
				return 0
			}
			held, _, _ := p.Stats()
			p.Apply(turn, held+units, quota)
			return units
		}
		draw()
		for range 60 { // one request now and then: little is spent in any window
			time.Sleep(2 * time.Second)
			if ok, _ := p.Reserve(cost); !ok {
				t.Fatal("a small request found nothing at hand")
			}
			p.Commit(cost)
			draw()
			if turn, _, ok := p.NextReturn(false, nodes); ok {
				held, _, _ := p.Stats()
				p.Apply(turn, held, quota)
			}
		}
		if _, free, _ := p.Stats(); free < cost || free > quota/nodes {
			t.Errorf("%d units at hand", free)
		}
		turn, _, ok := p.NextReturn(true, nodes)
		if !ok {
			t.Fatal("nothing is given back though units are scarce")
		}
		held, free, _ := p.Stats()
		p.Apply(turn, held, quota)
		if free != 0 {
			t.Errorf("%d units kept though they are scarce", free)
		}
		if units := draw(); units >= cost { // what is spent in 0.3 s may be
			t.Errorf("%d units are drawn though they are scarce", units)
		}
	})
}
