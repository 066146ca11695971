package sim_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	dto "github.com/prometheus/client_model/go"
)

// Runners refuse every connection under high load. In any ten seconds, all routers together must make at most 0.2 retries
// per first attempt, plus the fixed budget of the fleet.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 4 {
			all = append(all, newModelRunner(50, 5*time.Millisecond))
		}
		w := newFullFleet(t, seed, 6, testConfig(""), all...)
		// The runners' listeners are closed, but their heartbeats continue: every dial is refused.
		for _, s := range all {
			s.closeListener()
		}
		// Half of the time one runner listens, so that there are many first attempts as well.
		retries, worst := 0.0, 0.0
		stop := time.Now().Add(60 * time.Second)
		for i := uint64(1); time.Now().Before(stop); i++ {
			go w.send(w.ctx, w.full[i%6], query{n: i, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 1, "prompt": fmt.Sprint(i)}})
			time.Sleep(time.Duration(w.chance(10)) * time.Millisecond)
			if i%1000 == 500 {
				all[0].reopenListener()
			} else if i%1000 == 0 {
				all[0].closeListener()
			}
			first, retried := 0, 0
			for _, r := range w.full {
				f, a := r.router.Clients.Retries.Counts("model")
				first, retried = first+f, retried+a
			}
			if limit := 0.2*float64(first) + 20; float64(retried) > limit {
				t.Fatalf("%d retries and %d first attempts in ten seconds", retried, first)
			}
			if first > 0 {
				worst = math.Max(worst, float64(retried)/float64(first))
			}
		}
		denied := 0.0
		for _, r := range w.full {
			retries += testutil.ToFloat64(r.router.Metrics.RetryDecisions.WithLabelValues("model", "yes"))
			denied += testutil.ToFloat64(r.router.Metrics.RetryDecisions.WithLabelValues("model", "no"))
		}
		t.Logf("%g retries made, %g denied; at most %.2f retries per first attempt in ten seconds", retries, denied, worst)
		if retries == 0 || denied == 0 {
			t.Error("the limit was never reached: the test shows nothing")
		}
	})
}

// Under a load of ten times the capacity, queries of the first rank still succeed, all runners stay busy, the queue stays
// bounded, and every rejection carries Retry-After and is sent within the patience of its traffic class.
func TestTenfoldOverload(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		// Capacity: two runners with 4 streams each, 50 ms per token and 4 tokens per query, that is 40 queries per second.
		config := strings.Replace(testConfig(""), `{"services"`, `{"limits":{"queue":60},"services"`, 1)
		config = strings.ReplaceAll(config, `"patience_ms":20000`, `"patience_ms":2000`)
		w := newFullFleet(t, seed, 2, config, newModelRunner(4, 50*time.Millisecond), newModelRunner(4, 50*time.Millisecond))
		l := &resultLog{}
		var all sync.WaitGroup
		n := uint64(0)
		begun := time.Now()
		stop := begun.Add(20 * time.Second)
		longestQueue := 0
		for time.Now().Before(stop) {
			n++
			a := query{n: n, tenant: "rich", path: "/ask", body: prompt(4)}
			if n%20 == 0 { // 20 queries per second of the first rank, half of the capacity
				a.path = "/hot"
			}
			r := w.full[n%2]
			if n%20 == 0 {
				r = w.full[n/20%2]
			}
			all.Go(func() { l.add(w.send(w.ctx, r, a)) })
			for _, r := range w.full {
				q, _ := r.router.Scheduler.Waiting()
				longestQueue = max(longestQueue, q)
			}
			time.Sleep(2500 * time.Microsecond)
		}
		all.Wait()
		hot, hotDone, done := 0, 0, 0
		slowest := time.Duration(0)
		for _, g := range l.list() {
			if g.path == "/hot" {
				hot++
			}
			if g.status == 200 {
				done++
				if g.path == "/hot" {
					hotDone++
				}
			} else {
				slowest = max(slowest, g.took)
			}
		}
		capacity := 40 * 20
		for _, s := range w.runners {
			t.Logf("%s: at most %d queries at once with a capacity of %d, %d queries above it", s.addr, s.peak, s.capacity, s.overCapacity)
			if s.overCapacity > 40 {
				t.Errorf("%s: %d queries arrived while the runner was at capacity", s.addr, s.overCapacity)
			}
		}
		t.Logf("%d queries of a capacity of %d succeeded (%.2f), first rank %d of %d, longest queue %d, slowest rejection %s",
			done, capacity, float64(done)/float64(capacity), hotDone, hot, longestQueue, slowest)
		if float64(done) < 0.9*float64(capacity) {
			t.Errorf("%d queries of a capacity of %d succeeded", done, capacity)
		}
		if float64(hotDone) < 0.98*float64(hot) {
			t.Errorf("first rank: %d of %d queries succeeded", hotDone, hot)
		}
		if longestQueue > 60 {
			t.Errorf("%d queries waited, the limit is 60", longestQueue)
		}
		if slowest > 2100*time.Millisecond {
			t.Errorf("a rejection took %s, the patience is 2 s", slowest)
		}
		w.checkResults(l)
	})
}

// A configuration reaches all of 14, 50 and 200 routers within 2 s of its acknowledgement, also if the primary crashes right
// after the acknowledgement. The test logs the time and the messages that one configuration takes.
func TestConfigReachesAllRouters(t *testing.T) {
	t.Parallel()
	for _, n := range []int{14, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, n)
				f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
				f.within(10*time.Second, "all routers know each other", func() bool {
					for _, r := range f.routers {
						if len(r.member.Nodes()) < n {
							return false
						}
					}
					return true
				})
				time.Sleep(3 * time.Second)
				reach := func(p writeRecord) time.Duration {
					if p.code != 200 {
						t.Fatalf("the write got status %d", p.code)
					}
					return f.within(2*time.Second, "all routers apply the configuration", func() bool {
						for _, r := range f.routers {
							if config := r.member.Config(); config == nil || config.Version < p.version {
								return false
							}
						}
						return true
					})
				}
				o := f.operator()
				idle := f.w.Sent()
				time.Sleep(2 * time.Second)
				idle = f.w.Sent() - idle
				before := f.w.Sent()
				at := time.Now()
				took := reach(o.put(1, 0, ""))
				messages := f.w.Sent() - before
				heartbeats := int(time.Since(at).Seconds() / 2 * float64(idle))
				p := o.put(2, 0, "")
				f.crashCore(f.primary())
				tookAfterCrash := reach(p)
				t.Logf("%d routers: %s; with a crash of the primary: %s; %d messages, about %d of them heartbeats (%d per second when idle)", n, took, tookAfterCrash, messages, heartbeats, idle/2)
			})
		})
	}
}

// While no core is up, the traffic of a router does not grow with the number of queries that wait for a core: for a hundred
// waiting queries it looks for a primary as often as for one. All of them are served once a primary is back.
func TestNoHerd(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 4, testConfig(""), newModelRunner(200, 5*time.Millisecond), newOrderRunner())
		time.Sleep(2 * time.Second)
		for _, c := range w.cores {
			w.crashCore(c)
		}
		l := &resultLog{}
		n := uint64(0)
		var all sync.WaitGroup
		measure := func(more int) (sent, dialled int) {
			for range more {
				n++
				a := query{n: n, tenant: "rich", path: "/notes", body: prompt(2), key: fmt.Sprint("k", n)}
				r := w.full[n%4]
				all.Go(func() { l.add(w.send(w.ctx, r, a)) })
			}
			time.Sleep(300 * time.Millisecond)
			sent, dialled = w.w.Sent(), w.w.Dialled()
			time.Sleep(time.Second)
			return w.w.Sent() - sent, w.w.Dialled() - dialled
		}
		s1, d1 := measure(4)
		s2, d2 := measure(400)
		t.Logf("per second without a core: %d messages and %d dials with one query at each router, %d and %d with a hundred more", s1, d1, s2, d2)
		if s2 > 2*s1+100 || d2 > 2*d1+100 {
			t.Errorf("%d messages and %d dials per second, but %d and %d with one query at each router", s2, d2, s1, d1)
		}
		for _, c := range w.cores {
			w.startCore(c)
		}
		all.Wait()
		for _, g := range l.list() {
			if g.status != 200 {
				t.Fatalf("a query that waited for the core got %d %s", g.status, g.code)
			}
		}
		w.checkResults(l)
	})
}

// A configuration just below the size limit is applied, a larger one is rejected.
func TestLargeConfig(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 6)
		f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		var tenants []string
		for i := 0; len(strings.Join(tenants, ",")) < 1<<20-400; i += 100 {
			var b strings.Builder
			for j := range 100 {
				if j > 0 {
					b.WriteByte(',')
				}
				fmt.Fprintf(&b, `"t%d":{"keys":["%064x"],"funded":true}`, i+j, i+j+1)
			}
			if len(strings.Join(tenants, ","))+b.Len() > 1<<20-400 {
				break
			}
			tenants = append(tenants, b.String())
		}
		config := `{"tenants":{` + strings.Join(tenants, ",") + `}}`
		o := f.operator()
		p := o.putRaw([]byte(config), "")
		if p.code != 200 {
			t.Fatalf("a configuration of %d bytes got status %d", len(config), p.code)
		}
		f.within(2*time.Second, "all routers apply the configuration", func() bool {
			for _, r := range f.routers {
				if config := r.member.Config(); config == nil || config.Version < p.version {
					return false
				}
			}
			return true
		})
		if q := o.putRaw([]byte(config+strings.Repeat(" ", 1<<20)), ""); q.code != 413 {
			t.Errorf("a configuration above the size limit got status %d", q.code)
		}
	})
}

// Many operators write configurations just below the size limit at the same time. Every write succeeds, and the load does
// not make the primary remove a backup from the view.
func TestConcurrentLargeConfigs(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		epoch := f.primary().srv.State().View.Epoch
		codes := make(chan int, 12)
		for i := range 12 {
			o := f.operator()
			go func() {
				config := fmt.Sprintf(`{"limits":{"queue":%d}%s}`, i+1, strings.Repeat(" ", 1<<20-100))
				codes <- o.putRaw([]byte(config), fmt.Sprintf("big%d", i)).code
			}()
		}
		counts := map[int]int{}
		for range 12 {
			counts[<-codes]++
		}
		if counts[200] != 12 {
			t.Errorf("want 12 large configurations with status 200, got counts by status %v", counts)
		}
		if e := f.primary().srv.State().View.Epoch; e != epoch {
			t.Errorf("the view changed from epoch %d to %d", epoch, e)
		}
	})
}

// A stored version on a core's disk is corrupt. The core sets the file aside and rejoins as a new process, and the fleet
// loses no acknowledged write.
func TestCorruptedDisk(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		o := f.operator()
		h := &history{}
		for i := range 5 {
			h.add(o.put(i+1, 0, ""))
		}
		p := f.primary()
		oldID := p.srv.State().ID
		f.crashCore(p)
		corrupted := ""
		for _, n := range p.disk.Names() {
			if strings.HasPrefix(n, "v-") && (corrupted == "" || f.chance(2) == 0) {
				corrupted = n
			}
		}
		if !p.disk.FlipBit(corrupted, f.chance(1000)) {
			t.Fatal("there is no file to corrupt")
		}
		f.startCore(p)
		if p.srv.State().ID == oldID {
			t.Error("a core with corrupt files kept its process ID")
		}
		f.within(15*time.Second, "five members again, the core with the corrupt disk as a new process", func() bool {
			q := f.primary()
			return q != nil && len(q.srv.State().View.Members) == 5 && q.srv.State().View.HasMember(p.srv.State().ID)
		})
		h.add(o.put(9, 0, ""))
		f.check(h)
		setAside := false
		for _, n := range p.disk.Names() {
			setAside = setAside || n == "bad-"+corrupted
		}
		if !setAside {
			t.Errorf("%s was not set aside: %v", corrupted, p.disk.Names())
		}
	})
}

// Placement by prompt prefix: runners must find most prompt blocks in their caches, and no runner may get too large a share
// of the load, although one prefix has a third of the traffic. The test logs both figures.
func TestPrefixHits(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 8 {
			s := newModelRunner(16, 5*time.Millisecond)
			s.batchSlowdown, s.prefillTime = 0.1, 10*time.Millisecond
			all = append(all, s)
		}
		w := newFullFleet(t, seed, 4, testConfig(""), all...)
		rnd := rand.New(rand.NewPCG(seed, 3))
		var wg sync.WaitGroup
		l := &resultLog{}
		for i := range uint64(2000) {
			doc := rnd.IntN(40)
			if rnd.IntN(3) == 0 {
				doc = 0 // one prefix has a third of the traffic
			}
			text := strings.Repeat(fmt.Sprintf("sheet %d line; ", doc), 200) + fmt.Sprint(" question ", i)
			wg.Go(func() {
				l.add(w.send(w.ctx, w.full[i%4], query{n: i + 1, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": text}}))
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		hits, blocks, least, most := 0, 0, math.MaxInt, 0
		for _, s := range w.runners {
			s.mu.Lock()
			hits, blocks = hits+s.hits, blocks+s.blocks
			least, most = min(least, s.blocks), max(most, s.blocks)
			s.mu.Unlock()
		}
		rate := float64(hits) / float64(blocks)
		t.Logf("cache hits for %.3f of the blocks, busiest runner at %.2f times the mean load", rate, float64(most)*float64(len(w.runners))/float64(blocks))
		if rate < 0.85 {
			t.Errorf("cache hits for %.3f of the blocks, want at least 0.85", rate)
		}
		if f := float64(most) * 8 / float64(blocks); f > 3.2 {
			t.Errorf("the busiest runner got %.2f times the mean load, want at most 3.2", f)
		}
		w.checkResults(l)
	})
}

// probe sends one query. It returns the wait that the router estimates for the query, and a channel that delivers the actual
// wait until the query arrives at a runner.
func (w *fullFleet) probe(r *fullRouter, a query) (estimate time.Duration, wait chan time.Duration) {
	estimated := func() (total float64) {
		for _, kind := range []string{"funded", "unfunded"} {
			var m dto.Metric
			if err := r.router.Metrics.AllowanceWait.WithLabelValues(kind).(prometheus.Metric).Write(&m); err != nil {
				w.t.Error(err)
			}
			total += m.Histogram.GetSampleSum()
		}
		return total
	}
	before := estimated()
	wait = make(chan time.Duration, 1)
	go func() {
		g := w.send(w.ctx, r, a)
		if g.status != 200 {
			w.t.Errorf("a probe got %d %s", g.status, g.body)
		}
		for _, s := range w.arrivals() {
			if s.n == a.n {
				wait <- s.at.Sub(g.begun)
			}
		}
		close(wait)
	}()
	synctest.Wait() // the estimate has been made by now, and nothing else has happened
	return time.Duration((estimated() - before) * float64(time.Second)), wait
}

// Compares the wait that the allowance estimates with the actual wait, for new runners, full batches, cached prefixes and
// streams of other routers. The test logs the ratio of estimate to wait. The limits are wide and catch only an estimate that
// is entirely wrong.
func TestEstimate(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		for _, c := range []struct {
			name    string
			routers int
			warm    bool
			shared  bool
		}{{"new runners", 1, false, false}, {"measured, one router", 1, true, false}, {"measured, four routers", 4, true, false}, {"measured, shared prefixes", 4, true, true}} {
			a, b := newModelRunner(4, 50*time.Millisecond), newModelRunner(4, 50*time.Millisecond)
			a.batchSlowdown, b.batchSlowdown = 0.2, 0.2
			a.prefillTime, b.prefillTime = 200*time.Millisecond, 200*time.Millisecond
			config := strings.ReplaceAll(testConfig(""), `"patience_ms":20000`, `"patience_ms":600000`)
			w := newFullFleet(t, seed, c.routers, config, a, b)
			text := func(i int) string {
				if c.shared {
					return strings.Repeat("shared ", 200)
				}
				return strings.Repeat(fmt.Sprintf("own %d ", i), 200)
			}
			n := uint64(0)
			send := func(wg *sync.WaitGroup, i int) {
				n++
				no := n
				wg.Go(func() {
					w.send(w.ctx, w.full[i%c.routers], query{n: no, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 40, "prompt": text(int(no))}})
				})
			}
			if c.warm {
				var wg sync.WaitGroup
				for i := range 16 {
					send(&wg, i)
				}
				wg.Wait()
				time.Sleep(time.Second)
			}
			var wg sync.WaitGroup
			for i := range 60 {
				send(&wg, i)
			}
			time.Sleep(1500 * time.Millisecond)
			// One more query: its estimate at arrival, and the actual wait until its dispatch.
			n++
			est, ch := w.probe(w.full[0], query{n: n, tenant: "poor", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 41, "prompt": text(int(n))}})
			wait := <-ch
			wg.Wait()
			ratio := est.Seconds() / wait.Seconds()
			t.Logf("%s: estimated %.1f s, waited %.1f s, ratio %.2f", c.name, est.Seconds(), wait.Seconds(), ratio)
			if ratio < 0.4 || ratio > 5 {
				t.Errorf("%s: the ratio of estimate to wait is %.2f, want 0.4 to 5", c.name, ratio)
			}
			w.stopRoutersAndRunners()
			w.stop()
		}
	})
}

// Compares the estimate with the actual wait in the range in which the estimate matters: waits of a minute and more, caused
// by the tenant's own backlog of one kind of query. Before that, the runners are measured under half their load of the same
// kind. The kinds are those of the deployments. The test logs estimates, waits and their largest ratio.
func TestEstimateBacklog(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		for _, c := range []struct {
			name     string
			tokens   int
			stream   bool
			docs     int           // number of shared prompt prefixes
			every    time.Duration // mean interval of queries at half the load
			backlog  int           // queries of the backlog
			step     time.Duration // time per token
			shortBy  int           // number of tokens by which answers are shorter than requested
			maxRatio float64       // largest allowed ratio between estimate and wait
		}{
			{"checks", 2, false, 24, 90 * time.Millisecond, 1500, 400 * time.Millisecond, 0, 3},
			{"notes", 12, false, 40, 500 * time.Millisecond, 500, 400 * time.Millisecond, 0, 3},
			{"write-ups", 600, true, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 0, 3},
			{"long non-streamed answers", 600, false, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 0, 3},
			{"write-ups of a tenth of the requested length", 4000, true, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 3600, 8},
		} {
			var all []*simRunner
			for range 4 {
				m := newModelRunner(8, c.step)
				m.batchSlowdown, m.prefillTime, m.shortBy = 0.1, c.step/4, c.shortBy
				all = append(all, m)
			}
			config := strings.ReplaceAll(testConfig(""), `"patience_ms":20000`, `"patience_ms":1000000`)
			w := newFullFleet(t, seed, 4, strings.Replace(config, `{"services"`, `{"limits":{"queue":100000,"open":100000},"services"`, 1), all...)
			rnd := rand.New(rand.NewPCG(seed, 5))
			n := uint64(0)
			next := func() query {
				n++
				text := strings.Repeat(fmt.Sprintf("sheet %d line; ", rnd.IntN(c.docs)), 500) + fmt.Sprint(" question ", n)
				return query{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": c.tokens, "stream": c.stream, "prompt": text}}
			}
			var wg sync.WaitGroup
			for begun := time.Now(); time.Since(begun) < 60*time.Second; time.Sleep(time.Duration(rnd.ExpFloat64() * float64(c.every))) {
				a, r := next(), w.full[rnd.IntN(4)]
				wg.Go(func() { w.send(w.ctx, r, a) })
			}
			for range c.backlog {
				a, r := next(), w.full[rnd.IntN(4)]
				wg.Go(func() { w.send(w.ctx, r, a) })
			}
			var out []string
			worst := 0.0
			for range 4 {
				time.Sleep(5 * time.Second)
				est, ch := w.probe(w.full[0], next())
				wg.Go(func() {
					wait := <-ch
					ratio := est.Seconds() / wait.Seconds()
					out = append(out, fmt.Sprintf("%.0f/%.0f s", est.Seconds(), wait.Seconds()))
					worst = max(worst, ratio, 1/ratio)
				})
			}
			wg.Wait()
			t.Logf("%s: estimates and waits %v, largest ratio %.2f", c.name, out, worst)
			if !(worst < c.maxRatio) {
				t.Errorf("%s: estimate and wait differ by a factor of %.2f, want less than %g", c.name, worst, c.maxRatio)
			}
			w.stopRoutersAndRunners()
			w.stop()
		}
	})
}
