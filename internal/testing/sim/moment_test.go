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

// A router, a runner or the primary core fails at various times during a request, for requests with an idempotency key, plain
// and streamed ones. The log output lists the states that requests were in when the failure hit. The states queued, nominated
// (which lasts until the runner's response headers arrive) and answering must be among them.
func TestFailureInEachRequestState(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	failuresByState := map[string]int{}
	for _, kind := range []string{"/orders", "/notes", "/ask", "stream"} {
		for _, victim := range []string{"router", "runner", "primary"} {
			t.Run(strings.Trim(kind, "/")+" "+victim, func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					var all []*simRunner
					for range 2 {
						m := newModelRunner(1, 10*time.Millisecond)
						o := newOrderRunner()
						o.capacity, o.step = 1, 60*time.Millisecond
						all = append(all, m, o)
					}
					w := newFullFleet(t, seed, 4, repeatConfig(true), all...)
					w.earnRetries()
					l := &resultLog{}
					for i := range 5 {
						at := time.Duration(int(seed)%4*5+i*20) * time.Millisecond
						n := uint64(i*100 + 1)
						r := w.full[i%4]
						before := len(r.current().RequestLog.All())
						// Both runners are busy for a while, so that the request waits in the queue.
						path := kind
						if kind == "stream" {
							path = "/ask"
						}
						for k := range uint64(2) {
							go w.send(w.ctx, w.full[(i+1)%4], query{n: n + 50 + k, tenant: "rich", path: path, body: prompt(4)})
						}
						time.Sleep(15 * time.Millisecond)
						var clientDone sync.WaitGroup
						var stream *streamResult
						clientDone.Go(func() {
							if kind == "stream" {
								stream = w.runStream(i%4, n, "/ask", 8, noHangup)
								return
							}
							a := query{n: n, tenant: "rich", path: kind, body: prompt(4)}
							if kind != "/ask" {
								a.key = fmt.Sprint("k", n)
							}
							for attempt := 0; attempt < 5; attempt++ {
								to := w.full[(i+attempt)%4]
								ctx, cancel := context.WithTimeout(w.ctx, 15*time.Second)
								g := w.send(ctx, to, a)
								cancel()
								if to.current() == nil {
									g = result{query: a} // the router is down, so the client has received no response
								}
								l.add(g)
								if g.status == 200 || a.key == "" && g.run != "not run" {
									return
								}
								pause50ms()
							}
						})
						time.Sleep(at)
						run := r.current()
						failedAt := time.Now()
						var restore func()
						switch victim {
						case "router":
							w.crashFullRouter(r)
							restore = func() { w.startFullRouter(r) }
						case "primary":
							p := w.primary()
							w.crashCore(p)
							restore = func() { w.startCore(p) }
						case "runner":
							s := w.runners[0]
							for _, d := range w.arrivals() {
								if d.n == n {
									for _, x := range w.runners {
										if x.addr == d.addr {
											s = x
										}
									}
								}
							}
							s.stop()
							restore = func() { s.start() }
						}
						time.Sleep(time.Second)
						restore()
						clientDone.Wait()
						if stream != nil {
							if bad := stream.verify(); bad != "" || stream.end == "" {
								t.Errorf("%s failed after %s: the stream ended with %q after %d chunks: %s", victim, at, stream.end, len(stream.chunks), bad)
							}
						}
						for _, rec := range run.RequestLog.All()[before:] {
							state := ""
							for _, st := range rec.Steps {
								if failedAt.Add(-at).Add(st.After).Before(failedAt) {
									state = string(st.State)
								}
							}
							mu.Lock()
							failuresByState[victim+" in "+state]++
							mu.Unlock()
						}
						w.within(12*time.Second, "a request succeeds after the failure", func() bool {
							n += 7
							return w.primary() != nil && w.send(w.ctx, w.full[(i+2)%4], query{n: n + 5000, tenant: "rich", path: "/orders", key: fmt.Sprint("s", n), body: prompt(1)}).status == 200
						})
					}
					w.checkResults(l)
				})
			})
		}
	}
	var lines []string
	for k, n := range failuresByState {
		lines = append(lines, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(lines)
	t.Logf("failures by victim and request state: %v", lines)
	for _, s := range []string{"queued", "nominated", "answering"} {
		if failuresByState["router in "+s]+failuresByState["runner in "+s]+failuresByState["primary in "+s] == 0 {
			t.Errorf("no failure hit a request in state %s", s)
		}
	}
}
