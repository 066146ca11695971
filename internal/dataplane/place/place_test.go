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

// newPool returns a pool with one runner of the given capacity.
func newPool(capacity int, wake func()) (*runner.Pool, *runner.Instance) {
	pool := runner.NewPool("r1", wake)
	report := runner.Report{Name: "m", Address: "10.0.0.1:1", RunID: "1", State: "ready", Capacity: capacity, Labels: map[string]string{}}
	raw, _ := report.MarshalMsg(nil)
	pool.Apply(dissemination.Record{Key: runner.KeyPrefix + report.Address, Generation: 1, Version: 1, Body: raw})
	return pool, pool.List()[0]
}

// Compares the order of dispatch with a simple model: by priority, round robin between the tenants of a priority, and first
// in, first out for each tenant.
func TestDispatchOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			defer end()
			s := NewScheduler("east", NewPrefixIndex(100))
			pool, instance := newPool(1, s.Wake)
			slot := instance.Acquire(1, 0)
			if slot == nil {
				rt.Fatal("got no slot on an idle runner")
			}
			type waiting struct{ number, priority, tenant int }
			var requests []waiting
			var order []int
			for i := range rapid.IntRange(1, 20).Draw(rt, "n") {
				r := waiting{i, rapid.IntRange(0, 2).Draw(rt, "priority"), rapid.IntRange(0, 2).Draw(rt, "tenant")}
				requests = append(requests, r)
				go func() {
					waiter := &Waiter{Kind: "k", Priority: r.priority, Tenant: r.tenant, Tokens: 1, Eligible: pool.List}
					got, err := s.Acquire(ctx, waiter, time.Hour, 100)
					if err != nil {
						return
					}
					order = append(order, r.number)
					time.Sleep(time.Second)
					got.Release(true)
					s.Wake()
				}()
				synctest.Wait()
			}
			go s.Run(ctx)
			slot.Release(true)
			s.Wake()
			deadline := time.Now().Add(time.Duration(len(requests)+2) * 1100 * time.Millisecond)
			for time.Now().Before(deadline) {
				pool.Apply(heartbeat(pool)) // the runner stays healthy
				time.Sleep(time.Second)
			}
			var want []int
			for priority := range 3 {
				var tenantOrder []int
				byTenant := map[int][]int{}
				for _, r := range requests {
					if r.priority == priority {
						if len(byTenant[r.tenant]) == 0 {
							tenantOrder = append(tenantOrder, r.tenant)
						}
						byTenant[r.tenant] = append(byTenant[r.tenant], r.number)
					}
				}
				for len(tenantOrder) > 0 {
					tenant := tenantOrder[0]
					tenantOrder = tenantOrder[1:]
					want = append(want, byTenant[tenant][0])
					if byTenant[tenant] = byTenant[tenant][1:]; len(byTenant[tenant]) > 0 {
						tenantOrder = append(tenantOrder, tenant)
					}
				}
			}
			if fmt.Sprint(order) != fmt.Sprint(want) {
				rt.Fatalf("requests %v were dispatched in order %v, want %v", requests, order, want)
			}
		})
	})
}

var heartbeatVersion uint64

// heartbeat returns a new record of the runner in a pool, with its last report.
func heartbeat(pool *runner.Pool) dissemination.Record {
	report := pool.List()[0].Report()
	raw, _ := report.MarshalMsg(nil)
	heartbeatVersion++
	return dissemination.Record{Key: runner.KeyPrefix + report.Address, Generation: 1, Version: heartbeatVersion, Body: raw}
}

// A wait ends at its time-out, by eviction from a full queue, or when its client disconnects. After that no request is left in
// the queue, and the one slot goes to the highest priority.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		s := NewScheduler("east", NewPrefixIndex(100))
		pool, instance := newPool(1, s.Wake)
		go s.Run(ctx)
		slot := instance.Acquire(1, 0)
		if slot == nil {
			t.Fatal("got no slot on an idle runner")
		}
		acquire := func(ctx context.Context, priority int, timeout time.Duration) chan error {
			result := make(chan error, 1)
			go func() {
				_, err := s.Acquire(ctx, &Waiter{Kind: "k", Priority: priority, Tokens: 5, Eligible: pool.List}, timeout, 2)
				result <- err
			}()
			synctest.Wait()
			return result
		}
		started := time.Now()
		middle, low := acquire(ctx, 1, 2*time.Second), acquire(ctx, 3, time.Hour)
		high := acquire(ctx, 0, time.Hour)
		if err := <-low; !errors.Is(err, ErrQueueFull) {
			t.Errorf("got error %v for the waiter of lowest priority, want it evicted by a full queue", err)
		}
		if err := <-acquire(ctx, 3, time.Hour); !errors.Is(err, ErrQueueFull) {
			t.Errorf("got error %v for a new request of lowest priority, want it rejected by a full queue", err)
		}
		if err := <-middle; !errors.Is(err, ErrWaitTimeout) || time.Since(started) != 2*time.Second {
			t.Errorf("got %v after %s, want the queue time-out after 2 s", err, time.Since(started))
		}
		clientCtx, disconnect := context.WithCancel(ctx)
		disconnected := acquire(clientCtx, 1, time.Hour)
		disconnect()
		if err := <-disconnected; !errors.Is(err, ErrClientGone) {
			t.Errorf("got error %v after the client disconnected, want ErrClientGone", err)
		}
		slot.Release(true)
		s.Wake()
		if err := <-high; err != nil {
			t.Errorf("got error %v for the highest priority, want a slot", err)
		}
		if n, tokens := s.Waiting(); n != 0 || len(tokens) != 0 {
			t.Errorf("got %d waiting requests with tokens %v, want none", n, tokens)
		}
		if n, _ := instance.Load(); n != 1 {
			t.Errorf("got %d streams on the runner, want 1", n)
		}
	})
}

// A runner with a cached prefix is chosen within the load limit and not beyond it. Tenants share no prefixes.
func TestChoose(t *testing.T) {
	index := NewPrefixIndex(1000)
	text := string(make([]byte, 4*BlockSize))
	keys := PrefixHashes(1, text)
	if len(keys) != 4 {
		t.Fatalf("got %d blocks, want 4", len(keys))
	}
	index.Record(keys[:2], 0)
	index.Record(keys, 1)
	if depth := index.Match(keys); depth[0] != 2 || depth[1] != 4 {
		t.Errorf("got depths %v, want 2 at runner 0 and 4 at runner 1", depth)
	}
	if depth := index.Match(PrefixHashes(2, text)); len(depth) != 0 {
		t.Errorf("got depths %v for another tenant's prompt, want none", depth)
	}
	candidates := []Candidate{{Index: 0, Address: "a", Capacity: 100}, {Index: 1, Address: "b", Capacity: 100}, {Index: 2, Address: "c", SameZone: true, Capacity: 100}}
	if i := Choose(keys, candidates, index.Match(keys)); i != 1 {
		t.Errorf("got runner %d, want 1, which has the longest prefix", i)
	}
	candidates[1].Load = 50
	if i := Choose(keys, candidates, index.Match(keys)); i != 0 {
		t.Errorf("got runner %d, want 0, which has the longest prefix within the load limit", i)
	}
	if i := Choose(PrefixHashes(3, text), candidates, nil); i != 2 {
		t.Errorf("got runner %d, want 2, which is in the same zone", i)
	}
	for i := range candidates {
		candidates[i].Load = 100
	}
	if i := Choose(keys, candidates, nil); i != -1 {
		t.Errorf("got runner %d, want none: all are full", i)
	}
}

// policy chooses a runner for a prompt by its prefix hashes and the number of streams on each runner.
type policy func(keys []uint64, load []int) int

// simulate places n generated prompts by a policy. About a third of them share one hot document, runners slow down under load,
// and caches never evict. It returns the ratio of blocks found in a cache, and the ratio of the busiest runner's prompts to
// the mean.
func simulate(choose policy, record func(keys []uint64, runner int), n int) (hitRatio, imbalance float64) {
	const runners = 8
	rnd := rand.New(rand.NewPCG(1, 2))
	load, placed := make([]int, runners), make([]int, runners)
	cache := make([]map[uint64]bool, runners)
	for i := range cache {
		cache[i] = map[uint64]bool{}
	}
	type completion struct{ at, runner int }
	var completions []completion
	hits, total := 0, 0
	for now := range n {
		for i := 0; i < len(completions); i++ {
			if completions[i].at <= now {
				load[completions[i].runner]--
				completions = append(completions[:i], completions[i+1:]...)
				i--
			}
		}
		document := rnd.IntN(60)
		if rnd.IntN(3) == 0 {
			document = 0
		}
		keys := PrefixHashes(0, strings.Repeat(fmt.Sprintf("sheet %3d; ", document), 250)+fmt.Sprint(now))
		runner := choose(keys, load)
		misses := 0
		for _, key := range keys {
			total++
			if cache[runner][key] {
				hits++
			} else {
				misses++
				cache[runner][key] = true
			}
		}
		record(keys, runner)
		placed[runner]++
		load[runner]++
		completions = append(completions, completion{now + 12 + misses*2 + load[runner], runner})
	}
	busiest := 0
	for _, k := range placed {
		busiest = max(busiest, k)
	}
	return float64(hits) / float64(total), float64(busiest) * runners / float64(n)
}

// On the same prompts, prefix placement has at least the cache hits of least-loaded placement, and at most the imbalance of
// rendezvous hashing.
func TestPlacementPolicies(t *testing.T) {
	const n = 4000
	ignore := func([]uint64, int) {}
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	leastLoaded := func(_ []uint64, load []int) int {
		best := 0
		for i := range load {
			if load[i] < load[best] {
				best = i
			}
		}
		return best
	}
	rendezvous := func(keys []uint64, load []int) int {
		best := 0
		for i := range load {
			if hashing.RendezvousWeight(keys[0], addr(i)) > hashing.RendezvousWeight(keys[0], addr(best)) {
				best = i
			}
		}
		return best
	}
	prefixes := NewPrefixIndex(1 << 14)
	prefixPlacement := func(keys []uint64, load []int) int {
		var candidates []Candidate
		for i := range load {
			candidates = append(candidates, Candidate{Index: i, Address: addr(i), Load: load[i], Capacity: 1000})
		}
		return Choose(keys, candidates, prefixes.Match(keys))
	}
	leastLoadedHits, leastLoadedImbalance := simulate(leastLoaded, ignore, n)
	rendezvousHits, rendezvousImbalance := simulate(rendezvous, ignore, n)
	prefixHits, prefixImbalance := simulate(prefixPlacement, prefixes.Record, n)
	t.Logf("cache hit ratio and imbalance: least-loaded %.3f %.2f, rendezvous %.3f %.2f, prefix bounded by load %.3f %.2f", leastLoadedHits, leastLoadedImbalance, rendezvousHits, rendezvousImbalance, prefixHits, prefixImbalance)
	if prefixHits < leastLoadedHits || prefixImbalance > rendezvousImbalance {
		t.Errorf("prefix placement: got hit ratio %.3f, want at least %.3f as with least-loaded; got imbalance %.2f, want at most %.2f as with rendezvous hashing", prefixHits, leastLoadedHits, prefixImbalance, rendezvousImbalance)
	}
}
