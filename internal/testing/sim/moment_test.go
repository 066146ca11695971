package sim_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// Router, runner and the core's primary fall at each moment of a query's way, one by one, for once-only,
// plain and streamed queries. The log tells in which states those queries were that ended badly; queued,
// nominated (which lasts until the runner's headers are there) and answering have to be among them.
func TestFailureInEachRequestState(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	hit := map[string]int{}
	for _, kind := range []string{"/orders", "/notes", "/ask", "stream"} {
		for _, victim := range []string{"router", "runner", "primary"} {
			t.Run(strings.Trim(kind, "/")+" "+victim, func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					var all []*simRunner
					for range 2 {
						m := model(1, 10*time.Millisecond)
						o := orders()
						o.room, o.step = 1, 60*time.Millisecond
						all = append(all, m, o)
					}
					w := newWhole(t, seed, 4, repeatLay(true), all...)
					w.earn()
					l := &ledger{}
					for i := range 5 {
						at := time.Duration(int(seed)%4*5+i*20) * time.Millisecond
						n := uint64(i*100 + 1)
						r := w.full[i%4]
						before := len(r.now().RequestLog.All())
						// Both runners are busy for a while, so that the query waits.
						path := kind
						if kind == "stream" {
							path = "/ask"
						}
						for k := range uint64(2) {
							go w.send(w.ctx, w.full[(i+1)%4], ask{n: n + 50 + k, tenant: "rich", path: path, body: prompt(4)})
						}
						time.Sleep(15 * time.Millisecond)
						var mine sync.WaitGroup
						var o *told
						mine.Go(func() {
							if kind == "stream" {
								o = w.stream(i%4, n, "/ask", 8, never)
								return
							}
							a := ask{n: n, tenant: "rich", path: kind, body: prompt(4)}
							if kind != "/ask" {
								a.key = fmt.Sprint("k", n)
							}
							for try := 0; try < 5; try++ {
								to := w.full[(i+try)%4]
								ctx, end := context.WithTimeout(w.ctx, 15*time.Second)
								g := w.send(ctx, to, a)
								end()
								if to.now() == nil {
									g = got{ask: a} // the origin heard nothing
								}
								l.add(g)
								if g.status == 200 || a.key == "" && g.run != "not run" {
									return
								}
								env50()
							}
						})
						time.Sleep(at)
						run := r.now()
						fell := time.Now()
						var back func()
						switch victim {
						case "router":
							w.crashFull(r)
							back = func() { w.startFull(r) }
						case "primary":
							p := w.primary()
							w.crashCore(p)
							back = func() { w.startCore(p) }
						case "runner":
							s := w.runners[0]
							for _, d := range w.seen() {
								if d.n == n {
									for _, x := range w.runners {
										if x.addr == d.addr {
											s = x
										}
									}
								}
							}
							s.stop()
							back = func() { s.start() }
						}
						time.Sleep(time.Second)
						back()
						mine.Wait()
						if o != nil {
							if bad := o.judge(); bad != "" || o.end == "" {
								t.Errorf("%s fell after %s: the stream ended %q with %d pieces: %s", victim, at, o.end, len(o.pieces), bad)
							}
						}
						for _, rec := range run.RequestLog.All()[before:] {
							state := ""
							for _, st := range rec.Steps {
								if fell.Add(-at).Add(st.After).Before(fell) {
									state = string(st.State)
								}
							}
							mu.Lock()
							hit[victim+" in "+state]++
							mu.Unlock()
						}
						w.within(12*time.Second, "service", func() bool {
							n += 7
							return w.primary() != nil && w.send(w.ctx, w.full[(i+2)%4], ask{n: n + 5000, tenant: "rich", path: "/orders", key: fmt.Sprint("s", n), body: prompt(1)}).status == 200
						})
					}
					w.honest(l)
				})
			})
		}
	}
	var list []string
	for k, n := range hit {
		list = append(list, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(list)
	t.Logf("fell: %v", list)
	for _, s := range []string{"queued", "nominated", "answering"} {
		if hit["router in "+s]+hit["runner in "+s]+hit["primary in "+s] == 0 {
			t.Errorf("nothing fell while a query was %s", s)
		}
	}
}
