package place

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/transport/dissemination"
)

// one is a pool with a runner of the given room.
func one(room int, wake func()) (*runner.Pool, *runner.Instance) {
	y := runner.NewPool("r1", wake)
	n := runner.Report{Name: "m", Address: "10.0.0.1:1", RunID: "1", State: "ready", Capacity: room, Labels: map[string]string{}}
	raw, _ := n.MarshalMsg(nil)
	y.Apply(dissemination.Record{Key: runner.KeyPrefix + n.Address, Generation: 1, Version: 1, Body: raw})
	return y, y.List()[0]
}

// The order in which waiting requests go, against a plain model: by rank; in a rank the tenants take
// turns; a tenant's own go first in, first out.
func TestOrderAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			defer end()
			s := NewScheduler("east", NewPrefixIndex(100))
			y, instance := one(1, s.Wake)
			seat := instance.Acquire(1, 0)
			if seat == nil {
				rt.Fatal("the runner takes no query")
			}
			type ask struct{ no, rank, ten int }
			var asks []ask
			var order []int
			for i := range rapid.IntRange(1, 20).Draw(rt, "n") {
				a := ask{i, rapid.IntRange(0, 2).Draw(rt, "rank"), rapid.IntRange(0, 2).Draw(rt, "tenant")}
				asks = append(asks, a)
				go func() {
					waiter := &Waiter{Kind: "k", Priority: a.rank, Tenant: a.ten, Tokens: 1, Eligible: y.List}
					got, err := s.Acquire(ctx, waiter, time.Hour, 100)
					if err != nil {
						return
					}
					order = append(order, a.no)
					time.Sleep(time.Second)
					got.Release(true)
					s.Wake()
				}()
				synctest.Wait()
			}
			go s.Run(ctx)
			seat.Release(true)
			s.Wake()
			stop := time.Now().Add(time.Duration(len(asks)+2) * 1100 * time.Millisecond)
			for time.Now().Before(stop) {
				y.Apply(beat(y)) // the runner heartbeats on
				time.Sleep(time.Second)
			}
			var want []int
			for rank := range 3 {
				var turn []int
				by := map[int][]int{}
				for _, a := range asks {
					if a.rank == rank {
						if len(by[a.ten]) == 0 {
							turn = append(turn, a.ten)
						}
						by[a.ten] = append(by[a.ten], a.no)
					}
				}
				for len(turn) > 0 {
					tenant := turn[0]
					turn = turn[1:]
					want = append(want, by[tenant][0])
					if by[tenant] = by[tenant][1:]; len(by[tenant]) > 0 {
						turn = append(turn, tenant)
					}
				}
			}
			if fmt.Sprint(order) != fmt.Sprint(want) {
				rt.Fatalf("%v went as %v, expected %v", asks, order, want)
			}
		})
	})
}

var turn uint64

func beat(y *runner.Pool) dissemination.Record {
	n := y.List()[0].Report()
	raw, _ := n.MarshalMsg(nil)
	turn++
	return dissemination.Record{Key: runner.KeyPrefix + n.Address, Generation: 1, Version: turn, Body: raw}
}

// Patience ends a wait at its time, a full queue rejects the newest of the lowest rank, a client
// that leaves gives its place back; in the end nothing waits and nothing is seated.
func TestWaitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		s := NewScheduler("east", NewPrefixIndex(100))
		y, instance := one(1, s.Wake)
		go s.Run(ctx)
		seat := instance.Acquire(1, 0)
		if seat == nil {
			t.Fatal("the runner takes no query")
		}
		enter := func(ctx context.Context, priority int, timeout time.Duration) chan error {
			ch := make(chan error, 1)
			go func() {
				_, err := s.Acquire(ctx, &Waiter{Kind: "k", Priority: priority, Tokens: 5, Eligible: y.List}, timeout, 2)
				ch <- err
			}()
			synctest.Wait()
			return ch
		}
		begun := time.Now()
		a, b := enter(ctx, 1, 2*time.Second), enter(ctx, 3, time.Hour)
		high := enter(ctx, 0, time.Hour)
		if err := <-b; !errors.Is(err, ErrQueueFull) {
			t.Errorf("the lowest rank: %v", err)
		}
		if err := <-enter(ctx, 3, time.Hour); !errors.Is(err, ErrQueueFull) {
			t.Errorf("a newcomer of the lowest rank: %v", err)
		}
		if err := <-a; !errors.Is(err, ErrWaitTimeout) || time.Since(begun) != 2*time.Second {
			t.Errorf("got %v after %s, want the queue time-out after 2 s", err, time.Since(begun))
		}
		left, leave := context.WithCancel(ctx)
		gone := enter(left, 1, time.Hour)
		leave()
		if err := <-gone; !errors.Is(err, ErrClientGone) {
			t.Errorf("an origin that left: %v", err)
		}
		seat.Release(true)
		s.Wake()
		if err := <-high; err != nil {
			t.Errorf("the highest rank: %v", err)
		}
		if n, sum := s.Waiting(); n != 0 || len(sum) != 0 {
			t.Errorf("%d wait, tokens %v", n, sum)
		}
		if n, _ := instance.Load(); n != 1 {
			t.Errorf("%d are seated, 1 expected", n)
		}
	})
}

// A known prefix wins within the load bound, and loses beyond it; tenants' prefixes don't meet.
func TestNominate(t *testing.T) {
	m := NewPrefixIndex(1000)
	text := string(make([]byte, 4*BlockSize))
	keys := PrefixHashes(1, text)
	if len(keys) != 4 {
		t.Fatalf("%d blocks", len(keys))
	}
	m.Record(keys[:2], 0)
	m.Record(keys, 1)
	if d := m.Match(keys); d[0] != 2 || d[1] != 4 {
		t.Errorf("matched %v", d)
	}
	if d := m.Match(PrefixHashes(2, text)); len(d) != 0 {
		t.Errorf("another tenant matched %v", d)
	}
	candidates := []Candidate{{Index: 0, Address: "a", Capacity: 100}, {Index: 1, Address: "b", Capacity: 100}, {Index: 2, Address: "c", SameZone: true, Capacity: 100}}
	if i := Choose(keys, candidates, m.Match(keys)); i != 1 {
		t.Errorf("nominated %d, the longest prefix is at 1", i)
	}
	candidates[1].Load = 50
	if i := Choose(keys, candidates, m.Match(keys)); i != 0 {
		t.Errorf("nominated %d, the next prefix within the bound is at 0", i)
	}
	if i := Choose(PrefixHashes(3, text), candidates, nil); i != 2 {
		t.Errorf("nominated %d, the own hall's is 2", i)
	}
	for i := range candidates {
		candidates[i].Load = 100
	}
	if i := Choose(keys, candidates, nil); i != -1 {
		t.Errorf("nominated %d where nobody has room", i)
	}
}

// policy picks a runner for a prompt's blocks; loads are streams under way.
type policy func(keys []uint64, load []int) int

// play sends a made day's prompts through a policy: a share of hot ones, runners that slow down as
// they fill, caches that keep all they read. It gives the part of blocks found in a cache, and the
// busiest runner's prompts over the mean.
func play(pick policy, note func(keys []uint64, runner int), n int) (hits, tilt float64) {
	const runners = 8
	rnd := rand.New(rand.NewPCG(1, 2))
	load, took := make([]int, runners), make([]int, runners)
	cache := make([]map[uint64]bool, runners)
	for i := range cache {
		cache[i] = map[uint64]bool{}
	}
	type end struct{ at, who int }
	var ends []end
	hit, all := 0, 0
	for now := range n {
		for i := 0; i < len(ends); i++ {
			if ends[i].at <= now {
				load[ends[i].who]--
				ends = append(ends[:i], ends[i+1:]...)
				i--
			}
		}
		doc := rnd.IntN(60)
		if rnd.IntN(3) == 0 {
			doc = 0
		}
		keys := PrefixHashes(0, strings.Repeat(fmt.Sprintf("sheet %3d; ", doc), 250)+fmt.Sprint(now))
		runner := pick(keys, load)
		misses := 0
		for _, key := range keys {
			all++
			if cache[runner][key] {
				hit++
			} else {
				misses++
				cache[runner][key] = true
			}
		}
		note(keys, runner)
		took[runner]++
		load[runner]++
		ends = append(ends, end{now + 12 + misses*2 + load[runner], runner})
	}
	most := 0
	for _, k := range took {
		most = max(most, k)
	}
	return float64(hit) / float64(all), float64(most) * runners / float64(n)
}

// Prefix placement against plain rendezvous hashing and least-loaded, on the same prompts.
func TestPolicies(t *testing.T) {
	const n = 4000
	none := func([]uint64, int) {}
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	least := func(_ []uint64, load []int) int {
		best := 0
		for i := range load {
			if load[i] < load[best] {
				best = i
			}
		}
		return best
	}
	plain := func(keys []uint64, load []int) int {
		best := 0
		for i := range load {
			if hashing.RendezvousWeight(keys[0], addr(i)) > hashing.RendezvousWeight(keys[0], addr(best)) {
				best = i
			}
		}
		return best
	}
	prefixes := NewPrefixIndex(1 << 14)
	ours := func(keys []uint64, load []int) int {
		var candidates []Candidate
		for i := range load {
			candidates = append(candidates, Candidate{Index: i, Address: addr(i), Load: load[i], Capacity: 1000})
		}
		return Choose(keys, candidates, prefixes.Match(keys))
	}
	hl, tl := play(least, none, n)
	hr, tr := play(plain, none, n)
	ho, to := play(ours, prefixes.Record, n)
	t.Logf("blocks found in a cache, busiest over mean: least-loaded %.3f %.2f, rendezvous %.3f %.2f, prefix bounded by load %.3f %.2f", hl, tl, hr, tr, ho, to)
	if ho < hl || to > tr {
		t.Errorf("prefix placement hits %.3f where least-loaded hits %.3f, and tilts %.2f where rendezvous tilts %.2f", ho, hl, to, tr)
	}
}
