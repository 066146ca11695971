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

// Runners that refuse every connection, under a crowd: second tries stay under a fifth of the first
// ones and the fleet's small allowance in any ten seconds, counted over all routers together.
func TestSecondTries(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 4 {
			all = append(all, model(50, 5*time.Millisecond))
		}
		w := newWhole(t, seed, 6, plainLay(""), all...)
		// The runners' listeners are gone, their heartbeats go on: every dial is refused.
		for _, s := range all {
			s.deaf()
		}
		// Half of the time some listen and some do not, so that first tries come in numbers too.
		second, worst := 0.0, 0.0
		stop := time.Now().Add(60 * time.Second)
		for i := uint64(1); time.Now().Before(stop); i++ {
			go w.send(w.ctx, w.full[i%6], ask{n: i, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 1, "prompt": fmt.Sprint(i)}})
			time.Sleep(time.Duration(w.chance(10)) * time.Millisecond)
			if i%1000 == 500 {
				all[0].hear()
			} else if i%1000 == 0 {
				all[0].deaf()
			}
			first, again := 0, 0
			for _, r := range w.full {
				f, a := r.r.Clients.Retries.Counts("model")
				first, again = first+f, again+a
			}
			if most := 0.2*float64(first) + 20; float64(again) > most {
				t.Fatalf("%d second tries beside %d first ones in ten seconds", again, first)
			}
			if first > 0 {
				worst = math.Max(worst, float64(again)/float64(first))
			}
		}
		denied := 0.0
		for _, r := range w.full {
			second += testutil.ToFloat64(r.r.Metrics.RetryDecisions.WithLabelValues("model", "yes"))
			denied += testutil.ToFloat64(r.r.Metrics.RetryDecisions.WithLabelValues("model", "no"))
		}
		t.Logf("%g second tries made, %g wanted and not made; at worst %.2f of the first ones in ten seconds", second, denied, worst)
		if second == 0 || denied == 0 {
			t.Error("the bound was never reached: nothing was shown")
		}
	})
}

// A crowd of ten times the capacity: the first rank keeps its goodput, all runners stay busy, the
// queue stays bounded, and every rejection comes with its Retry-After as soon as it is certain.
func TestCrowd(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		// Two runners of 4 streams, 50 ms a token, 4 tokens: 40 queries a second.
		lay := strings.Replace(plainLay(""), `{"services"`, `{"limits":{"queue":60},"services"`, 1)
		lay = strings.ReplaceAll(lay, `"patience_ms":20000`, `"patience_ms":2000`)
		w := newWhole(t, seed, 2, lay, model(4, 50*time.Millisecond), model(4, 50*time.Millisecond))
		l := &ledger{}
		var all sync.WaitGroup
		n := uint64(0)
		begun := time.Now()
		stop := begun.Add(20 * time.Second)
		most := 0
		for time.Now().Before(stop) {
			n++
			a := ask{n: n, tenant: "rich", path: "/ask", body: prompt(4)}
			if n%20 == 0 { // 20 a second of the first rank, half of the capacity
				a.path = "/hot"
			}
			r := w.full[n%2]
			if n%20 == 0 {
				r = w.full[n/20%2]
			}
			all.Go(func() { l.add(w.send(w.ctx, r, a)) })
			for _, r := range w.full {
				q, _ := r.r.Scheduler.Waiting()
				most = max(most, q)
			}
			time.Sleep(2500 * time.Microsecond)
		}
		all.Wait()
		hot, hotDone, done := 0, 0, 0
		slow := time.Duration(0)
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
				slow = max(slow, g.took)
			}
		}
		full := 40 * 20
		for _, s := range w.runners {
			t.Logf("%s: at most %d of a room of %d at once, %d came over it", s.addr, s.peak, s.room, s.over)
			if s.over > 40 {
				t.Errorf("%s: %d queries came while its room was full", s.addr, s.over)
			}
		}
		t.Logf("%d of a capacity of %d done (%.2f), first rank %d of %d, longest queue %d, slowest rejection %s",
			done, full, float64(done)/float64(full), hotDone, hot, most, slow)
		if float64(done) < 0.9*float64(full) {
			t.Errorf("goodput %d of a capacity of %d", done, full)
		}
		if float64(hotDone) < 0.98*float64(hot) {
			t.Errorf("first rank: %d of %d done", hotDone, hot)
		}
		if most > 60 {
			t.Errorf("%d queries waited where 60 may", most)
		}
		if slow > 2100*time.Millisecond {
			t.Errorf("a rejection took %s, patience is 2 s", slow)
		}
		w.honest(l)
	})
}

// From acknowledgement to the last router, also when the primary dies with its answer: within 2 s,
// for 14, 50 and 200 routers. The log gives the time and the messages a configuration costs.
func TestReach(t *testing.T) {
	t.Parallel()
	for _, n := range []int{14, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, n)
				f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
				f.within(10*time.Second, "all on the roll", func() bool {
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
						t.Fatalf("write answered %d", p.code)
					}
					return f.within(2*time.Second, "all routers obey", func() bool {
						for _, r := range f.routers {
							if lay := r.member.Config(); lay == nil || lay.Version < p.version {
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
				calm := reach(o.put(1, 0, ""))
				calls := f.w.Sent() - before
				share := int(time.Since(at).Seconds() / 2 * float64(idle))
				p := o.put(2, 0, "")
				f.crashCore(f.primary())
				dead := reach(p)
				t.Logf("%d routers: %s; primary dead with its answer: %s; %d messages, some %d of them heartbeats (%d a second when idle)", n, calm, dead, calls, share, idle/2)
			})
		})
	}
}

// While there is no core, what each router asks of the fleet does not grow with the queries that wait for
// it: a hundred look for a primary as one does, and are served once there is one.
func TestNoHerd(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 4, plainLay(""), model(200, 5*time.Millisecond), orders())
		time.Sleep(2 * time.Second)
		for _, c := range w.cores {
			w.crashCore(c)
		}
		l := &ledger{}
		n := uint64(0)
		var all sync.WaitGroup
		cost := func(more int) (sent, dialled int) {
			for range more {
				n++
				a := ask{n: n, tenant: "rich", path: "/notes", body: prompt(2), key: fmt.Sprint("k", n)}
				r := w.full[n%4]
				all.Go(func() { l.add(w.send(w.ctx, r, a)) })
			}
			time.Sleep(300 * time.Millisecond)
			sent, dialled = w.w.Sent(), w.w.Dialled()
			time.Sleep(time.Second)
			return w.w.Sent() - sent, w.w.Dialled() - dialled
		}
		s1, d1 := cost(4)
		s2, d2 := cost(400)
		t.Logf("a second without a core: one query at each router, %d messages and %d dials; a hundred more, %d and %d", s1, d1, s2, d2)
		if s2 > 2*s1+100 || d2 > 2*d1+100 {
			t.Errorf("%d messages and %d dials a second, %d and %d with one query at each router", s2, d2, s1, d1)
		}
		for _, c := range w.cores {
			w.startCore(c)
		}
		all.Wait()
		for _, g := range l.list() {
			if g.status != 200 {
				t.Fatalf("a query that waited for the core was answered %d %s", g.status, g.code)
			}
		}
		w.honest(l)
	})
}

// A configuration near the largest size goes through, one beyond it does not.
func TestLargeLayout(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 6)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		var ten []string
		for i := 0; len(strings.Join(ten, ",")) < 1<<20-400; i += 100 {
			var b strings.Builder
			for j := range 100 {
				if j > 0 {
					b.WriteByte(',')
				}
				fmt.Fprintf(&b, `"t%d":{"keys":["%064x"],"funded":true}`, i+j, i+j+1)
			}
			if len(strings.Join(ten, ","))+b.Len() > 1<<20-400 {
				break
			}
			ten = append(ten, b.String())
		}
		lay := `{"tenants":{` + strings.Join(ten, ",") + `}}`
		o := f.operator()
		p := o.putRaw([]byte(lay), "")
		if p.code != 200 {
			t.Fatalf("a configuration of %d bytes was answered %d", len(lay), p.code)
		}
		f.within(2*time.Second, "all obey", func() bool {
			for _, r := range f.routers {
				if l := r.member.Config(); l == nil || l.Version < p.version {
					return false
				}
			}
			return true
		})
		if q := o.putRaw([]byte(lay+strings.Repeat(" ", 1<<20)), ""); q.code != 413 {
			t.Errorf("too large a configuration was answered %d", q.code)
		}
	})
}

// Many operators put configurations near the largest size at once: each is answered, and none of it costs
// the primary its backup.
func TestLargeStorm(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		epoch := f.primary().srv.State().View.Epoch
		codes := make(chan int, 12)
		for i := range 12 {
			o := f.operator()
			go func() {
				lay := fmt.Sprintf(`{"limits":{"queue":%d}%s}`, i+1, strings.Repeat(" ", 1<<20-100))
				codes <- o.putRaw([]byte(lay), fmt.Sprintf("big%d", i)).code
			}()
		}
		sum := map[int]int{}
		for range 12 {
			sum[<-codes]++
		}
		if sum[200] != 12 {
			t.Errorf("twelve large configurations were answered %v", sum)
		}
		if e := f.primary().srv.State().View.Epoch; e != epoch {
			t.Errorf("the view went from epoch %d to %d", epoch, e)
		}
	})
}

// A damaged version on a core's disk: the core says so, counts as blank, and the fleet loses nothing.
func TestDamagedDisk(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		b := &history{}
		for i := range 5 {
			b.add(o.put(i+1, 0, ""))
		}
		p := f.primary()
		was := p.srv.State().ID
		f.crashCore(p)
		bad := ""
		for _, n := range p.disk.Names() {
			if strings.HasPrefix(n, "v-") && (bad == "" || f.chance(2) == 0) {
				bad = n
			}
		}
		if !p.disk.Spoil(bad, f.chance(1000)) {
			t.Fatal("nothing to spoil")
		}
		f.startCore(p)
		if p.srv.State().ID == was {
			t.Error("a core with a damaged state kept its identity")
		}
		f.within(15*time.Second, "five members again, the damaged one as a new process", func() bool {
			q := f.primary()
			return q != nil && len(q.srv.State().View.Members) == 5 && q.srv.State().View.HasMember(p.srv.State().ID)
		})
		b.add(o.put(9, 0, ""))
		f.check(b)
		kept := false
		for _, n := range p.disk.Names() {
			kept = kept || n == "bad-"+bad
		}
		if !kept {
			t.Errorf("%s was not set aside: %v", bad, p.disk.Names())
		}
	})
}

// Prefixes: how much of the prompts runners find in their caches, and how even the load is, against
// least-loaded and plain rendezvous placement on the same traffic. The log gives the figures.
func TestPrefixHits(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 8 {
			s := model(16, 5*time.Millisecond)
			s.slow, s.cold = 0.1, 10*time.Millisecond
			all = append(all, s)
		}
		w := newWhole(t, seed, 4, plainLay(""), all...)
		rnd := rand.New(rand.NewPCG(seed, 3))
		var wg sync.WaitGroup
		l := &ledger{}
		for i := range uint64(2000) {
			doc := rnd.IntN(40)
			if rnd.IntN(3) == 0 {
				doc = 0 // one key takes a third of the traffic
			}
			text := strings.Repeat(fmt.Sprintf("sheet %d line; ", doc), 200) + fmt.Sprint(" question ", i)
			wg.Go(func() {
				l.add(w.send(w.ctx, w.full[i%4], ask{n: i + 1, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": text}}))
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
		t.Logf("prefix hits %.3f of blocks, busiest runner %.2f of the mean", rate, float64(most)*float64(len(w.runners))/float64(blocks))
		if rate < 0.85 {
			t.Errorf("hits %.3f", rate)
		}
		if f := float64(most) * 8 / float64(blocks); f > 3.2 {
			t.Errorf("the busiest runner took %.2f of the mean", f)
		}
		w.honest(l)
	})
}

// probe sends one query, and tells the wait it was estimated, at once, and the one it has until a runner
// sees it, in time.
func (w *whole) probe(r *fullRouter, a ask) (est time.Duration, wait chan time.Duration) {
	sum := func() (all float64) {
		for _, kind := range []string{"funded", "unfunded"} {
			var m dto.Metric
			if err := r.r.Metrics.AllowanceWait.WithLabelValues(kind).(prometheus.Metric).Write(&m); err != nil {
				w.t.Error(err)
			}
			all += m.Histogram.GetSampleSum()
		}
		return all
	}
	before := sum()
	wait = make(chan time.Duration, 1)
	go func() {
		g := w.send(w.ctx, r, a)
		if g.status != 200 {
			w.t.Errorf("a probe was answered %d %s", g.status, g.body)
		}
		for _, s := range w.seen() {
			if s.n == a.n {
				wait <- s.at.Sub(g.begun)
			}
		}
		close(wait)
	}()
	synctest.Wait() // it is judged by now, and nothing else has happened
	return time.Duration((sum() - before) * float64(time.Second)), wait
}

// The allowance's estimate against the wait then seen, for new runners, full batches, prefix hits
// and other routers' streams. The log gives the ratio of estimate to wait; the bounds are wide, they
// catch an estimate that has come loose altogether.
func TestEstimate(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		for _, c := range []struct {
			name    string
			routers int
			warm    bool
			shared  bool
		}{{"new runners", 1, false, false}, {"measured, one router", 1, true, false}, {"measured, four routers", 4, true, false}, {"measured, shared prefixes", 4, true, true}} {
			a, b := model(4, 50*time.Millisecond), model(4, 50*time.Millisecond)
			a.slow, b.slow = 0.2, 0.2
			a.cold, b.cold = 200*time.Millisecond, 200*time.Millisecond
			lay := strings.ReplaceAll(plainLay(""), `"patience_ms":20000`, `"patience_ms":600000`)
			w := newWhole(t, seed, c.routers, lay, a, b)
			text := func(i int) string {
				if c.shared {
					return strings.Repeat("shared ", 200)
				}
				return strings.Repeat(fmt.Sprintf("own %d ", i), 200)
			}
			n := uint64(0)
			put := func(wg *sync.WaitGroup, i int) {
				n++
				no := n
				wg.Go(func() {
					w.send(w.ctx, w.full[i%c.routers], ask{n: no, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 40, "prompt": text(int(no))}})
				})
			}
			if c.warm {
				var wg sync.WaitGroup
				for i := range 16 {
					put(&wg, i)
				}
				wg.Wait()
				time.Sleep(time.Second)
			}
			var wg sync.WaitGroup
			for i := range 60 {
				put(&wg, i)
			}
			time.Sleep(1500 * time.Millisecond)
			// One more: its estimate at arrival, and its dispatch as seen.
			n++
			est, ch := w.probe(w.full[0], ask{n: n, tenant: "poor", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 41, "prompt": text(int(n))}})
			wait := <-ch
			wg.Wait()
			ratio := est.Seconds() / wait.Seconds()
			t.Logf("%s: estimated %.1f s, waited %.1f s, ratio %.2f", c.name, est.Seconds(), wait.Seconds(), ratio)
			if ratio < 0.4 || ratio > 5 {
				t.Errorf("%s: the estimate is off by a factor of %.2f", c.name, ratio)
			}
			w.shut()
			w.stop()
		}
	})
}

// The estimate where it decides something: waits of a minute and more, behind a tenant's own backlog of each
// kind of query that the deployments have, on runners that were measured under half a load of the same. The
// log gives the ratio of estimate to wait.
func TestEstimateBacklog(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		for _, c := range []struct {
			name   string
			tokens int
			stream bool
			docs   int           // shared prompts
			every  time.Duration // under half a load
			crowd  int
			step   time.Duration
			odd    int     // so many pieces fewer than were asked for
			most   float64 // that the estimate may be off by
		}{
			{"checks", 2, false, 24, 90 * time.Millisecond, 1500, 400 * time.Millisecond, 0, 3},
			{"notes", 12, false, 40, 500 * time.Millisecond, 500, 400 * time.Millisecond, 0, 3},
			{"write-ups", 600, true, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 0, 3},
			{"long whole answers", 600, false, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 0, 3},
			{"write-ups a tenth as long as asked for", 4000, true, 4, 2500 * time.Millisecond, 150, 40 * time.Millisecond, 3600, 8},
		} {
			var all []*simRunner
			for range 4 {
				m := model(8, c.step)
				m.slow, m.cold, m.odd = 0.1, c.step/4, c.odd
				all = append(all, m)
			}
			lay := strings.ReplaceAll(plainLay(""), `"patience_ms":20000`, `"patience_ms":1000000`)
			w := newWhole(t, seed, 4, strings.Replace(lay, `{"services"`, `{"limits":{"queue":100000,"open":100000},"services"`, 1), all...)
			rnd := rand.New(rand.NewPCG(seed, 5))
			n := uint64(0)
			next := func() ask {
				n++
				text := strings.Repeat(fmt.Sprintf("sheet %d line; ", rnd.IntN(c.docs)), 500) + fmt.Sprint(" question ", n)
				return ask{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": c.tokens, "stream": c.stream, "prompt": text}}
			}
			var wg sync.WaitGroup
			for begun := time.Now(); time.Since(begun) < 60*time.Second; time.Sleep(time.Duration(rnd.ExpFloat64() * float64(c.every))) {
				a, r := next(), w.full[rnd.IntN(4)]
				wg.Go(func() { w.send(w.ctx, r, a) })
			}
			for range c.crowd {
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
			t.Logf("%s: estimate and wait %v, off by %.2f at worst", c.name, out, worst)
			if !(worst < c.most) {
				t.Errorf("%s: the estimate is off by %.2f", c.name, worst)
			}
			w.shut()
			w.stop()
		}
	})
}
