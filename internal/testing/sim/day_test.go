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

var eventsFlag = flag.String("course", "", "comma-separated events for TestDays, in place of those drawn from the seed")

// dayEvents are the faults and changes of a simulated day, by name. Each event restarts what it stopped before it returns.
var dayEvents = map[string]func(w *fullFleet){
	"router": func(w *fullFleet) {
		r := w.full[w.chance(len(w.full))]
		w.crashFullRouter(r)
		w.sleepUpTo(3000)
		w.startFullRouter(r)
	},
	"routers": func(w *fullFleet) {
		from := w.chance(2)
		for i := from; i < len(w.full); i += 2 {
			w.crashFullRouter(w.full[i])
		}
		w.sleepUpTo(3000)
		for i := from; i < len(w.full); i += 2 {
			w.startFullRouter(w.full[i])
		}
	},
	"runners": func(w *fullFleet) {
		for _, s := range w.runners {
			s.stop()
			w.sleepUpTo(500)
			s.start()
			w.sleepUpTo(1000)
		}
	},
	"dark": func(w *fullFleet) {
		s := w.runners[w.chance(len(w.runners))]
		s.mu.Lock()
		s.hang = true
		s.mu.Unlock()
		w.sleepUpTo(6000)
		s.stop()
		s.mu.Lock()
		s.hang = false
		s.mu.Unlock()
		s.start()
	},
	"primary": func(w *fullFleet) {
		if p := w.primary(); p != nil {
			w.crashCore(p)
			w.sleepUpTo(8000)
			w.startCore(p)
		}
	},
	"cores": func(w *fullFleet) {
		for _, c := range w.cores {
			w.crashCore(c)
		}
		w.sleepUpTo(500)
		for _, c := range w.cores {
			w.startCore(c)
		}
	},
	"wipe": func(w *fullFleet) {
		if p := w.primary(); p != nil {
			w.crashCore(p)
			p.disk = sim.NewDisk()
			w.sleepUpTo(3000)
			w.startCore(p)
			time.Sleep(10 * time.Second) // until it is a member again: only then may a second disk be lost
		}
	},
	"swap": func(w *fullFleet) {
		old := w.cores[w.chance(len(w.cores))]
		w.crashCore(old)
		old.addr, old.disk = fmt.Sprintf("10.0.7.%d:1", lastID.Add(1)), sim.NewDisk()
		w.startCore(old)
		time.Sleep(15 * time.Second)
	},
	"stall": func(w *fullFleet) {
		if p := w.primary(); p != nil {
			p.disk.StallWrites()
			w.sleepUpTo(6000)
			p.disk.ResumeWrites()
		}
	},
	"full": func(w *fullFleet) {
		if p := w.primary(); p != nil {
			p.disk.SetFull(true)
			w.sleepUpTo(6000)
			p.disk.SetFull(false)
		}
	},
	"cut": func(w *fullFleet) {
		w.w.Split(w.zoneAddrs(w.zones[w.chance(4)]))
		w.sleepUpTo(30000)
		w.w.Heal()
	},
	"leave": func(w *fullFleet) {
		s := w.runners[w.chance(len(w.runners))]
		s.mu.Lock()
		s.state = "leaving" // the next heartbeat reports it; ServeHTTP checks that no query arrives 2 s after that
		s.mu.Unlock()
		w.sleepUpTo(8000)
		s.stop()
		s.start()
	},
	"deaf": func(w *fullFleet) {
		for _, s := range w.runners[1:4] {
			s.closeListener()
		}
		w.sleepUpTo(6000)
		for _, s := range w.runners[1:4] {
			s.reopenListener()
		}
	},
	"crowd": func(w *fullFleet) {
		for range 400 {
			n := 80000000 + lastID.Add(1)
			go w.send(w.ctx, w.full[w.chance(len(w.full))], query{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 5, "prompt": fmt.Sprint(n)}})
		}
		w.sleepUpTo(3000)
	},
	"oneway": func(w *fullFleet) {
		for range 4 {
			w.w.Cut(w.full[w.chance(len(w.full))].addr, w.full[w.chance(len(w.full))].addr)
			w.w.Cut(w.full[w.chance(len(w.full))].addr, w.runners[w.chance(len(w.runners))].addr)
			w.w.Cut(w.cores[w.chance(5)].addr, w.cores[w.chance(5)].addr)
		}
		w.sleepUpTo(8000)
		w.w.Heal()
	},
}

// sleepUpTo sleeps for a random time of at most ms milliseconds.
func (w *fullFleet) sleepUpTo(ms int) { time.Sleep(time.Duration(1+w.chance(ms)) * time.Millisecond) }

// drawEvents draws the events of a day from its seed.
func drawEvents(seed uint64) []string {
	names := []string{"router", "routers", "runners", "dark", "primary", "cores", "wipe", "swap", "stall", "full", "cut", "oneway", "leave", "crowd", "deaf"}
	rnd := rand.New(rand.NewPCG(seed, 21))
	var out []string
	for range 6 {
		out = append(out, names[rnd.IntN(len(names))])
	}
	return append(out, []string{"cores", "routers", "cut"}[rnd.IntN(3)]) // the closing fault
}

// checkVersionsIncrease checks until over that no router returns to an older configuration within one run.
func (w *fullFleet) checkVersionsIncrease(over func() bool) {
	type runVersion struct {
		run *router.Router
		seq uint64
	}
	last := make([]runVersion, len(w.full))
	for ; !over(); time.Sleep(20 * time.Millisecond) {
		for i, r := range w.full {
			run := r.current()
			if run == nil || run.Cluster.Config() == nil {
				continue
			}
			seq := run.Cluster.Config().Version
			if last[i].run == run && seq < last[i].seq {
				w.t.Errorf("%s returned from configuration version %d to %d", r.name, last[i].seq, seq)
			}
			last[i] = runVersion{run, seq}
		}
	}
}

// runDay runs the given events of a day under traffic of every kind, and checks all guarantees that clients and runners can
// observe.
func runDay(t *testing.T, seed uint64, events []string) {
	synctest.Test(t, func(t *testing.T) {
		var all []*simRunner
		for i := range 4 {
			m := newModelRunner(8, 10*time.Millisecond)
			m.differFrom = int(seed+uint64(i)) % 3 * 20
			all = append(all, m)
		}
		config := strings.Replace(repeatConfig(true), `"poor":`, `"metered":{"funded":true,"keys":["`+keyHash("metered")+`"],"quota":{"units":30,"window_s":5}},"poor":`, 1)
		w := newFullFleet(t, seed, 8, config, append(all, newOrderRunner(), newOrderRunner())...)
		l := &resultLog{}
		var over atomic.Bool
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				w.runClient(i, l, over.Load)
			})
		}
		for i := range 3 {
			wg.Go(func() {
				for k := uint64(1); !over.Load(); k++ {
					o := w.runStream(i*3+int(k), uint64(900+i)*100000+k, "/ask", 60, noHangup)
					if bad := o.verify(); bad != "" {
						t.Errorf("stream %s: %s", o.id, bad)
					}
				}
			})
		}
		h := &history{}
		var marker atomic.Int64
		for range 2 {
			wg.Go(func() {
				for o := w.operator(); !over.Load(); w.sleepUpTo(1500) {
					// Complete configurations, all different. Half of the writes require that the version read last is still current.
					in := &coreapi.WriteRequest{Raw: []byte(strings.Replace(config, `{"services"`, fmt.Sprintf(`{"limits":{"queue":%d},"services"`, 2000+marker.Add(1)), 1)), AnyVersion: w.chance(2) == 0}
					if o.read(h); !in.AnyVersion {
						h.mu.Lock()
						if n := len(h.reads); n > 0 {
							in.BaseVersion = h.reads[n-1].version
						}
						h.mu.Unlock()
					}
					h.add(o.write(in))
				}
			})
		}
		wg.Go(func() { w.checkVersionsIncrease(over.Load) })
		time.Sleep(2 * time.Second)
		for _, n := range events {
			dayEvents[n](w)
			w.sleepUpTo(2000)
		}
		w.settle()
		for i, r := range w.full {
			w.within(12*time.Second, r.name+" serves after the closing fault", func() bool {
				n := 90000000 + lastID.Add(1)
				return w.send(w.ctx, r, query{n: n, tenant: "rich", path: "/orders", key: fmt.Sprintf("end%d-%d", i, n), body: map[string]any{"n": n}}).status == 200
			})
		}
		over.Store(true)
		wg.Wait()
		w.applyConfig(config) // fails unless all routers apply it within 2 s
		w.checkResults(l)
		w.check(h)
		if n := w.maxInWindow("metered", 5*time.Second); n > 30 {
			t.Errorf("%d queries in one window of a quota of 30", n)
		}
		answered := 0
		for _, g := range l.list() {
			if g.status == 200 {
				answered++
			}
		}
		if answered < 100 {
			t.Errorf("only %d queries were answered", answered)
		}
	})
}

// A day in simulated time: a sequence of events drawn from the seed, and a closing fault. If a check fails, the test drops
// events one by one as long as a check still fails, and prints the seed and the remaining sequence.
func TestDays(t *testing.T) {
	t.Parallel()
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		events := drawEvents(seed)
		if *eventsFlag != "" {
			events = strings.Split(*eventsFlag, ",")
		}
		if t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { runDay(t, seed, events) }) {
			continue
		}
		for shortened := true; shortened; {
			shortened = false
			for j := range events {
				shorter := append(append([]string{}, events[:j]...), events[j+1:]...)
				if len(shorter) > 0 && !t.Run(fmt.Sprintf("seed%d without %s", seed, events[j]), func(t *testing.T) { runDay(t, seed, shorter) }) {
					events, shortened = shorter, true
					break
				}
			}
		}
		t.Errorf("failed; shortest failing sequence of events found: go test ./internal/testing/sim -run TestDays -seed %d -seeds 1 -course %s", seed, strings.Join(events, ","))
	}
}
