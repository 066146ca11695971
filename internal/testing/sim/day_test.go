package sim_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/router"
	"yarrowridge/internal/testing/sim"
)

var plan = flag.String("course", "", "a day's events for TestDays, comma-separated, in place of those drawn")

// happenings are what a simulated day may bring. Each ends by itself; what fell is up again after it.
var happenings = map[string]func(w *whole){
	"router": func(w *whole) {
		r := w.full[w.chance(len(w.full))]
		w.crashFull(r)
		w.pass(3000)
		w.startFull(r)
	},
	"routers": func(w *whole) {
		from := w.chance(2)
		for i := from; i < len(w.full); i += 2 {
			w.crashFull(w.full[i])
		}
		w.pass(3000)
		for i := from; i < len(w.full); i += 2 {
			w.startFull(w.full[i])
		}
	},
	"runners": func(w *whole) {
		for _, s := range w.runners {
			s.stop()
			w.pass(500)
			s.start()
			w.pass(1000)
		}
	},
	"dark": func(w *whole) {
		s := w.runners[w.chance(len(w.runners))]
		s.mu.Lock()
		s.hang = true
		s.mu.Unlock()
		w.pass(6000)
		s.stop()
		s.mu.Lock()
		s.hang = false
		s.mu.Unlock()
		s.start()
	},
	"primary": func(w *whole) {
		if p := w.primary(); p != nil {
			w.crashCore(p)
			w.pass(8000)
			w.startCore(p)
		}
	},
	"cores": func(w *whole) {
		for _, c := range w.cores {
			w.crashCore(c)
		}
		w.pass(500)
		for _, c := range w.cores {
			w.startCore(c)
		}
	},
	"wipe": func(w *whole) {
		if p := w.primary(); p != nil {
			w.crashCore(p)
			p.disk = sim.NewDisk()
			w.pass(3000)
			w.startCore(p)
			time.Sleep(10 * time.Second) // until it has a seat again: a second disk may be lost only then
		}
	},
	"swap": func(w *whole) {
		old := w.cores[w.chance(len(w.cores))]
		w.crashCore(old)
		old.addr, old.disk = fmt.Sprintf("10.0.7.%d:1", lastID.Add(1)), sim.NewDisk()
		w.startCore(old)
		time.Sleep(15 * time.Second)
	},
	"stall": func(w *whole) {
		if p := w.primary(); p != nil {
			p.disk.Stall()
			w.pass(6000)
			p.disk.Flow()
		}
	},
	"full": func(w *whole) {
		if p := w.primary(); p != nil {
			p.disk.Full(true)
			w.pass(6000)
			p.disk.Full(false)
		}
	},
	"cut": func(w *whole) {
		w.w.Split(w.sides(w.zones[w.chance(4)]))
		w.pass(30000)
		w.w.Heal()
	},
	"leave": func(w *whole) {
		s := w.runners[w.chance(len(w.runners))]
		s.mu.Lock()
		s.state = "leaving" // the next heartbeat says so; ServeHTTP minds the two seconds
		s.mu.Unlock()
		w.pass(8000)
		s.stop()
		s.start()
	},
	"deaf": func(w *whole) {
		for _, s := range w.runners[1:4] {
			s.deaf()
		}
		w.pass(6000)
		for _, s := range w.runners[1:4] {
			s.hear()
		}
	},
	"crowd": func(w *whole) {
		for range 400 {
			n := 80000000 + lastID.Add(1)
			go w.send(w.ctx, w.full[w.chance(len(w.full))], ask{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 5, "prompt": fmt.Sprint(n)}})
		}
		w.pass(3000)
	},
	"oneway": func(w *whole) {
		for range 4 {
			w.w.Cut(w.full[w.chance(len(w.full))].addr, w.full[w.chance(len(w.full))].addr)
			w.w.Cut(w.full[w.chance(len(w.full))].addr, w.runners[w.chance(len(w.runners))].addr)
			w.w.Cut(w.cores[w.chance(5)].addr, w.cores[w.chance(5)].addr)
		}
		w.pass(8000)
		w.w.Heal()
	},
}

// pass lets up to so many milliseconds go by.
func (w *whole) pass(ms int) { time.Sleep(time.Duration(1+w.chance(ms)) * time.Millisecond) }

// drawn is the course that a seed gives.
func drawn(seed uint64) []string {
	names := []string{"router", "routers", "runners", "dark", "primary", "cores", "wipe", "swap", "stall", "full", "cut", "oneway", "leave", "crowd", "deaf"}
	rnd := rand.New(rand.NewPCG(seed, 21))
	var out []string
	for range 6 {
		out = append(out, names[rnd.IntN(len(names))])
	}
	return append(out, []string{"cores", "routers", "cut"}[rnd.IntN(3)]) // the closing fault
}

// mind looks at every router all the time: none goes back to an older configuration in one life.
func (w *whole) mind(over func() bool) {
	type life struct {
		run *router.Router
		seq uint64
	}
	was := make([]life, len(w.full))
	for ; !over(); time.Sleep(20 * time.Millisecond) {
		for i, r := range w.full {
			run := r.now()
			if run == nil || run.Cluster.Config() == nil {
				continue
			}
			seq := run.Cluster.Config().Version
			if was[i].run == run && seq < was[i].seq {
				w.t.Errorf("%s went back from sequence %d to %d", r.name, was[i].seq, seq)
			}
			was[i] = life{run, seq}
		}
	}
}

// day plays a course under traffic of every kind and holds all promises that the simulated origins and
// runners can see.
func day(t *testing.T, seed uint64, course []string) {
	synctest.Test(t, func(t *testing.T) {
		var all []*simRunner
		for i := range 4 {
			m := model(8, 10*time.Millisecond)
			m.differ = int(seed+uint64(i)) % 3 * 20
			all = append(all, m)
		}
		lay := strings.Replace(repeatLay(true), `"poor":`, `"metered":{"funded":true,"keys":["`+key("metered")+`"],"quota":{"units":30,"window_s":5}},"poor":`, 1)
		w := newWhole(t, seed, 8, lay, append(all, orders(), orders())...)
		l := &ledger{}
		var over atomic.Bool
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				w.origin(i, l, over.Load)
			})
		}
		for i := range 3 {
			wg.Go(func() {
				for k := uint64(1); !over.Load(); k++ {
					o := w.stream(i*3+int(k), uint64(900+i)*100000+k, "/ask", 60, never)
					if bad := o.judge(); bad != "" {
						t.Errorf("stream %s %s", o.id, bad)
					}
				}
			})
		}
		b := &history{}
		var mark atomic.Int64
		for range 2 {
			wg.Go(func() {
				for o := w.operator(); !over.Load(); w.pass(1500) {
					// Whole configurations, each unlike all others; half of them on condition of what was read last.
					in := &coreapi.WriteRequest{Raw: []byte(strings.Replace(lay, `{"services"`, fmt.Sprintf(`{"limits":{"queue":%d},"services"`, 2000+mark.Add(1)), 1)), AnyVersion: w.chance(2) == 0}
					if o.read(b); !in.AnyVersion {
						b.mu.Lock()
						if n := len(b.reads); n > 0 {
							in.BaseVersion = b.reads[n-1].version
						}
						b.mu.Unlock()
					}
					b.add(o.write(in))
				}
			})
		}
		wg.Go(func() { w.mind(over.Load) })
		time.Sleep(2 * time.Second)
		for _, n := range course {
			happenings[n](w)
			w.pass(2000)
		}
		w.settle()
		for i, r := range w.full {
			w.within(12*time.Second, r.name+" serves after the closing fault", func() bool {
				n := 90000000 + lastID.Add(1)
				return w.send(w.ctx, r, ask{n: n, tenant: "rich", path: "/orders", key: fmt.Sprintf("end%d-%d", i, n), body: map[string]any{"n": n}}).status == 200
			})
		}
		over.Store(true)
		wg.Wait()
		w.put(lay) // obeyed everywhere within 2 s
		w.honest(l)
		w.check(b)
		if n := w.rolling("metered", 5*time.Second); n > 30 {
			t.Errorf("%d queries in a window of a quota of 30", n)
		}
		sum := 0
		for _, g := range l.list() {
			if g.status == 200 {
				sum++
			}
		}
		if sum < 100 {
			t.Errorf("only %d queries were answered", sum)
		}
	})
}

// A whole day in simulated time: a course of faults out of the seed, and a closing one. If a promise
// breaks, the seed, its course and the shortest part of it that still breaks are printed.
func TestDays(t *testing.T) {
	t.Parallel()
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		course := drawn(seed)
		if *plan != "" {
			course = strings.Split(*plan, ",")
		}
		if t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { day(t, seed, course) }) {
			continue
		}
		for short := true; short; {
			short = false
			for j := range course {
				less := append(append([]string{}, course[:j]...), course[j+1:]...)
				if len(less) > 0 && !t.Run(fmt.Sprintf("seed%d without %s", seed, course[j]), func(t *testing.T) { day(t, seed, less) }) {
					course, short = less, true
					break
				}
			}
		}
		t.Errorf("broken; the shortest course found: go test ./internal/testing/sim -run TestDays -seed %d -seeds 1 -course %s", seed, strings.Join(course, ","))
	}
}
