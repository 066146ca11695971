package sim_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/runner"
)

var isolationTime = flag.Duration("cut", 10*time.Minute, "how long a zone is isolated, in simulated time")

// resultLog records the results of all clients.
type resultLog struct {
	mu  sync.Mutex
	all []result
}

func (l *resultLog) add(g result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, g)
}

func (l *resultLog) list() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result{}, l.all...)
}

// checkResults compares the results of clients with the queries that arrived at runners: a query that may run only once ran
// at most once, a query reported as "not run" did not run, every answer belongs to its query, no request reached runners
// twice, and rejections carry Retry-After.
func (w *fullFleet) checkResults(l *resultLog) {
	w.arrivalLog.mu.Lock()
	defer w.arrivalLog.mu.Unlock()
	ids, ran := map[string]int{}, map[uint64]int{}
	for _, s := range w.arrivalLog.all {
		ids[s.id]++
		ran[s.n]++
	}
	for id, n := range ids {
		if n > 1 {
			w.t.Errorf("request %s reached runners %d times", id, n)
		}
	}
	once := map[uint64]bool{}
	for _, g := range l.all {
		if g.key != "" {
			once[g.n] = true
		}
		if g.run == "not run" && ids[g.id] > 0 {
			w.t.Errorf("request %s (query %d) was reported as not run (%s), but it ran", g.id, g.n, g.code)
		}
		if g.status == 200 && g.code == "" && !bytes.Contains(g.body, []byte(fmt.Sprintf(`"n":%d`, g.n))) {
			w.t.Errorf("query %d got the answer %s", g.n, g.body)
		}
		if (g.status == 503 || g.status == 429) && g.retryAfter == "" {
			w.t.Errorf("query %d was rejected with %s without Retry-After", g.n, g.code)
		}
	}
	for n := range once {
		if ran[n] > 1 {
			w.t.Errorf("query %d may run only once and ran %d times", n, ran[n])
		}
	}
}

// maxInWindow returns the largest number of a tenant's queries that arrived at runners within any one window.
func (w *fullFleet) maxInWindow(tenant string, window time.Duration) int {
	w.arrivalLog.mu.Lock()
	defer w.arrivalLog.mu.Unlock()
	largest := 0
	var at []time.Time
	for _, s := range w.arrivalLog.all {
		if s.tenant != tenant {
			continue
		}
		at = append(at, s.at)
		for at[len(at)-1].Sub(at[0]) >= window {
			at = at[1:]
		}
		largest = max(largest, len(at))
	}
	return largest
}

// Cores, routers and runners crash, hang and are partitioned while clients send queries and retry them at other routers. Queries
// that may run only once run at most once, "not run" is true, and answers are complete.
func TestQueryStorm(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 6, testConfig(`,"metered":{"funded":true,"keys":["`+keyHash("metered")+`"],"quota":{"units":30,"window_s":5}}`),
			newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond), newOrderRunner(), newOrderRunner())
		l := &resultLog{}
		stop := time.Now().Add(40 * time.Second)
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() {
				w.runClient(i, l, func() bool { return !time.Now().Before(stop) })
			})
		}
		for time.Now().Before(stop) {
			switch r := w.full[w.chance(len(w.full))]; w.chance(6) {
			case 0:
				w.crashFullRouter(r)
				pause50ms()
				w.startFullRouter(r)
			case 1:
				s := w.runners[w.chance(len(w.runners))]
				s.stop()
				pause50ms()
				s.start()
			case 2:
				s := w.runners[w.chance(len(w.runners))]
				w.w.Split([]string{r.addr}, []string{s.addr})
			case 3:
				w.w.Heal()
			default:
				w.fault()
			}
			time.Sleep(time.Duration(200+w.chance(1500)) * time.Millisecond)
		}
		w.settle()
		all.Wait()
		w.checkResults(l)
		if n := w.maxInWindow("metered", 5*time.Second); n > 30 {
			t.Errorf("%d queries in one window of a quota of 30", n)
		}
		counts := map[string]int{}
		for _, g := range l.list() {
			counts[fmt.Sprint(g.status, g.code)]++
		}
		t.Logf("outcomes %v", counts)
		if counts["200"] < 200 {
			t.Errorf("only %d queries were answered", counts["200"])
		}
		// After all faults, every router soon serves a query that may run only once.
		for i, r := range w.full {
			w.within(12*time.Second, r.name+" serves", func() bool {
				n := 900000 + lastID.Add(1)
				return w.send(w.ctx, r, query{n: n, tenant: "rich", path: "/orders", key: fmt.Sprintf("end%d-%d", i, n), body: map[string]any{"n": n}}).status == 200
			})
		}
	})
}

// runClient sends queries of all kinds until over. It retries each query at other routers until it has an outcome, up to four
// attempts.
func (w *fullFleet) runClient(i int, l *resultLog, over func() bool) {
	for k := uint64(1); !over(); k++ {
		a := query{n: uint64(i)*100000 + k, tenant: "rich", path: "/ask", body: prompt(5)}
		switch (uint64(i) + k) % 4 {
		case 0:
			a.path, a.key = "/orders", fmt.Sprintf("k%d", a.n)
		case 1:
			a.path, a.key = "/notes", fmt.Sprintf("k%d", a.n)
		case 2:
			a.tenant = "metered"
		}
		a.body["nonce"] = a.n
		for attempt := range 4 {
			r := w.full[(i+int(k)+attempt)%len(w.full)]
			if r.current() == nil {
				continue
			}
			ctx, end := context.WithTimeout(w.ctx, 15*time.Second)
			g := w.send(ctx, r, a)
			end()
			if r.current() == nil {
				g = result{query: a} // the router crashed: the client got no answer
			}
			l.add(g)
			if g.status == 200 || a.key == "" && g.run != "not run" {
				break
			}
			pause50ms()
		}
	}
}

func pause50ms() { time.Sleep(50 * time.Millisecond) }

// zoneAddrs returns the addresses of the processes in a zone and of those in all other zones.
func (w *fullFleet) zoneAddrs(zone string) (inside, outside []string) {
	add := func(at, addr string) {
		if at == zone {
			inside = append(inside, addr)
		} else {
			outside = append(outside, addr)
		}
	}
	for _, c := range w.cores {
		add(c.zone, c.addr)
	}
	for _, r := range w.full {
		add(r.zone, r.addr)
	}
	for _, s := range w.runners {
		add(s.zone, s.addr)
	}
	return inside, outside
}

// A zone is isolated for a long time. It keeps serving with its last configuration, which counts as stale, uses only its own
// share of quotas, and rejects keyed queries that may run only once as not run. After it rejoins, it applies the newest
// configuration.
func TestIsolatedZone(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		quota := func(n int) string {
			return fmt.Sprintf(`,"metered":{"funded":true,"keys":["%s"],"quota":{"units":%d,"window_s":10}}`, keyHash("metered"), n)
		}
		w := newFullFleet(t, seed, 8, testConfig(quota(40)), newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond), newOrderRunner(), newOrderRunner())
		time.Sleep(3 * time.Second)
		isolated := map[string]bool{"east": true}
		inZone, outside := w.zoneAddrs("east")
		l := &resultLog{}
		n := uint64(0)
		queryAllRouters := func(path, tenant string, keyed bool) map[string]int {
			counts := map[string]int{}
			var all sync.WaitGroup
			var mu sync.Mutex
			for _, r := range w.full {
				n++
				a := query{n: n, tenant: tenant, path: path, body: prompt(2)}
				if keyed {
					a.key = fmt.Sprintf("k%d", n)
				}
				all.Go(func() {
					g := w.send(w.ctx, r, a)
					l.add(g)
					mu.Lock()
					defer mu.Unlock()
					side := "out "
					if isolated[r.zone] {
						side = "in "
					}
					counts[side+fmt.Sprint(g.status)+g.code]++
				})
			}
			all.Wait()
			return counts
		}
		w.w.Split(inZone, outside)
		time.Sleep(8 * time.Second) // until unreachable runners are detected and a primary inside the zone is replaced
		until := time.Now().Add(*isolationTime)
		for time.Now().Before(until) {
			if s := queryAllRouters("/ask", "rich", false); s["in 200"] != 2 || s["out 200"] != 6 {
				t.Fatalf("unkeyed queries while the zone is isolated: %v", s)
			}
			if s := queryAllRouters("/notes", "rich", true); s["in 503no-core"] != 2 || s["out 200"] != 6 {
				t.Fatalf("keyed queries that may run only once while the zone is isolated: %v", s)
			}
			for range 10 {
				queryAllRouters("/ask", "metered", false)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(time.Duration(w.chance(50)) * time.Second)
		}
		for _, r := range w.full {
			if r.router.Cluster.CoreTimedOut() != isolated[r.zone] {
				t.Errorf("%s: stale is %v", r.name, r.router.Cluster.CoreTimedOut())
			}
		}
		o := w.operator()
		p := o.putRaw([]byte(testConfig(quota(20))), "")
		if p.code != 200 {
			t.Fatalf("the majority rejected a configuration with status %d", p.code)
		}
		w.w.Heal()
		w.within(2*time.Second, "all routers apply the newest configuration", func() bool {
			for _, r := range w.full {
				if r.router.Cluster.Config().Version < p.version || r.router.Cluster.CoreTimedOut() {
					return false
				}
			}
			return true
		})
		if got := w.maxInWindow("metered", 10*time.Second); got > 40 {
			t.Errorf("%d queries in one window of a quota of 40", got)
		}
		time.Sleep(10 * time.Second)
		before := len(w.arrivals())
		for range 30 {
			queryAllRouters("/ask", "metered", false)
			time.Sleep(500 * time.Millisecond)
		}
		w.arrivalLog.mu.Lock()
		w.arrivalLog.all = w.arrivalLog.all[before:]
		w.arrivalLog.mu.Unlock()
		if got := w.maxInWindow("metered", 10*time.Second); got > 20 || got < 10 {
			t.Errorf("after rejoining, %d queries in one window of a quota of 20", got)
		}
		w.checkResults(l)
	})
}

// Every router rejects a withdrawn key at once, and its running streams end with an error event within 2 s.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 4, testConfig(`,"gone":{"funded":true,"keys":["`+keyHash("gone")+`"]}`), newModelRunner(8, 100*time.Millisecond))
		done := make(chan result, 1)
		body := prompt(300)
		body["stream"] = true
		go func() {
			done <- w.send(w.ctx, w.full[1], query{n: 1, tenant: "gone", path: "/ask", body: body})
		}()
		time.Sleep(3 * time.Second)
		w.applyConfig(testConfig(""))
		acked := time.Now()
		for i, r := range w.full {
			if g := w.send(w.ctx, r, query{n: uint64(10 + i), tenant: "gone", path: "/ask", body: prompt(1)}); g.status != 401 {
				t.Errorf("%s: a query with a withdrawn key got status %d, want 401", r.name, g.status)
			}
		}
		g := <-done
		if took := time.Since(acked); took > 2*time.Second {
			t.Errorf("the stream ended %s after its key was withdrawn", took)
		}
		if !strings.Contains(string(g.body), "event: trouble") || !strings.Contains(string(g.body), "key-withdrawn") || strings.Contains(string(g.body), "[DONE]") {
			t.Errorf("the stream ended with %q", tail(g.body))
		}
	})
}

// tail returns the last 200 bytes of b.
func tail(b []byte) string { return string(b[max(0, len(b)-200):]) }

// A runner that sends heartbeats but answers no query becomes unhealthy by its missing answers, and its heartbeats alone do
// not make it healthy again.
func TestStuckRunner(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond)
		a.name, b.name = "a", "b"
		w := newFullFleet(t, seed, 2, testConfig(""), a, b)
		a.mu.Lock()
		a.hang = true
		a.mu.Unlock()
		changes, lastHealth := 0, ""
		for i := range 600 {
			i := i
			go w.send(w.ctx, w.full[i%2], query{n: uint64(i + 1), tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": fmt.Sprint(i)}})
			time.Sleep(100 * time.Millisecond)
			for _, e := range w.full[0].router.Runners.List() {
				if e.Address == a.addr && i == 300 && e.Health() == "" {
					t.Error("the runner is healthy after 30 s without an answer")
				}
				if e.Address == a.addr {
					if health := e.Health(); health != lastHealth {
						lastHealth = health
						changes++
					}
				}
			}
		}
		late := 0
		w.arrivalLog.mu.Lock()
		for _, s := range w.arrivalLog.all {
			if s.runner == "a" && s.n > 200 {
				late++
			}
		}
		total := len(w.arrivalLog.all)
		w.arrivalLog.mu.Unlock()
		t.Logf("%d of %d queries went to the stuck runner after 20 s; its health changed %d times in 60 s", late, total, changes)
		if late > 8 {
			t.Errorf("%d queries went to a runner that had not answered for 20 s", late)
		}
		if changes > 8 {
			t.Errorf("the health of the runner changed %d times", changes)
		}
		if total < 500 {
			t.Errorf("only %d queries reached a runner", total)
		}
	})
}

// A runner reports to one router that it is leaving, and the router crashes at once. Within 2 s, every other router stops
// sending queries to the runner.
func TestLeavingReportSurvivesRouterCrash(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := newModelRunner(8, 5*time.Millisecond), newModelRunner(8, 5*time.Millisecond)
		a.name, b.name = "a", "b"
		w := newFullFleet(t, seed, 6, testConfig(""), a, b)
		receiver := w.full[w.chance(len(w.full))]
		api := &runner.API{Cluster: receiver.router.Cluster, KeyHash: func() string { return "" }}
		a.mu.Lock()
		a.state, a.muted = "leaving", true
		raw := fmt.Sprintf(`{"name":"a","addr":%q,"born":"1","turn":%d,"state":"leaving","room":8,"labels":{"app":"model","model":"m"}}`, a.addr, a.sequence+1)
		a.mu.Unlock()
		if code := post(api.Heartbeat, raw); code != 200 {
			t.Fatalf("the heartbeat got status %d", code)
		}
		w.crashFullRouter(receiver)
		at := time.Now()
		time.Sleep(2 * time.Second)
		for i := range 60 {
			for _, r := range w.full {
				if r.current() != nil {
					n := uint64(i*10 + 1000)
					go w.send(w.ctx, r, query{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 1, "prompt": fmt.Sprint(i)}})
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, s := range w.arrivals() {
			if s.runner == "a" && s.at.Sub(at) > 2*time.Second {
				t.Fatalf("the leaving runner got a query %s after its report", s.at.Sub(at))
			}
		}
		if len(w.arrivals()) < 100 {
			t.Errorf("only %d queries reached a runner", len(w.arrivals()))
		}
	})
}

// Queries of one kind request outputs of different lengths. A runner gets no query that requests more than its maximum
// length, also if shorter queries precede it in the queue.
func TestRunnerMaxLength(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		short, long := newModelRunner(2, 20*time.Millisecond), newModelRunner(2, 20*time.Millisecond)
		short.maxLength, long.maxLength = 50, 5000
		config := strings.ReplaceAll(testConfig(""), `"patience_ms":20000`, `"patience_ms":600000`)
		w := newFullFleet(t, seed, 1, config, short, long)
		l := &resultLog{}
		var all sync.WaitGroup
		for i := range uint64(80) {
			tokens := 10
			if w.chance(2) == 0 {
				tokens = 60
			}
			tenant := []string{"rich", "poor"}[w.chance(2)]
			all.Go(func() {
				l.add(w.send(w.ctx, w.full[0], query{n: i + 1, tenant: tenant, path: "/ask", body: prompt(tokens)}))
			})
		}
		all.Wait()
		for _, g := range l.list() {
			if g.status != 200 {
				t.Fatalf("a query got %d %s", g.status, g.body)
			}
		}
		if short.tooLong > 0 {
			t.Errorf("%d queries requested more than the maximum length of their runner", short.tooLong)
		}
		w.checkResults(l)
	})
}

// A queued query is dispatched under the configuration of that time, not under the one that was current when it arrived.
func TestQueuedQueriesUseNewConfig(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := newModelRunner(1, 100*time.Millisecond), newModelRunner(1, 100*time.Millisecond)
		a.name, b.name = "a", "b"
		a.labels, b.labels = map[string]string{"app": "model", "model": "m", "set": "a"}, map[string]string{"app": "model", "model": "m", "set": "b"}
		withGone := `,"gone":{"funded":true,"keys":["` + keyHash("gone") + `"]}`
		w := newFullFleet(t, seed, 2, testConfig(withGone), a, b)
		l := &resultLog{}
		var all sync.WaitGroup
		for i := range uint64(24) {
			tenant := []string{"rich", "gone"}[i%2]
			all.Go(func() {
				l.add(w.send(w.ctx, w.full[i%2], query{n: i + 1, tenant: tenant, path: "/ask", body: prompt(10)}))
			})
		}
		time.Sleep(1500 * time.Millisecond)
		w.applyConfig(strings.Replace(testConfig(""), `"select":"app=model"`, `"select":"app=model, set=b"`, 1))
		acked := time.Now()
		all.Wait()
		for _, s := range w.arrivals() {
			if s.runner == "a" && s.at.Sub(acked) > 2*time.Second {
				t.Errorf("a runner that the new configuration excludes got query %d %s after the change", s.n, s.at.Sub(acked))
			}
			if s.tenant == "gone" && s.at.Sub(acked) > 2*time.Second {
				t.Errorf("query %d reached a runner %s after its key was withdrawn", s.n, s.at.Sub(acked))
			}
		}
		counts := map[string]int{}
		for _, g := range l.list() {
			counts[fmt.Sprint(g.tenant, " ", g.status, g.code)]++
		}
		t.Logf("outcomes %v", counts)
		if counts["rich 200"] < 12 || counts["gone 401unknown-key"] == 0 {
			t.Errorf("outcomes %v, want at least 12 of tenant rich with 200 and one of tenant gone with unknown-key", counts)
		}
		w.checkResults(l)
	})
}

// Queries above the limit on open queries are rejected at once, before their bodies are read.
func TestTooManyOpenQueries(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 1, strings.Replace(testConfig(""), `{"services"`, `{"limits":{"open":5},"services"`, 1), newModelRunner(8, 100*time.Millisecond))
		l := &resultLog{}
		var all sync.WaitGroup
		for i := range uint64(20) {
			all.Go(func() {
				l.add(w.send(w.ctx, w.full[0], query{n: i + 1, tenant: "rich", path: "/ask", body: prompt(10)}))
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		counts := map[string]int{}
		for _, g := range l.list() {
			counts[fmt.Sprint(g.status, g.code)]++
			if g.code == "too-many" && g.took > 0 {
				t.Errorf("a rejection took %s, want no delay", g.took)
			}
		}
		if counts["200"] != 5 || counts["503too-many"] != 15 {
			t.Errorf("outcomes of 20 queries with a limit of 5 open ones: %v", counts)
		}
		w.checkResults(l)
	})
}

// Every kind of invalid query gets its own error code, and none of them reaches a runner.
func TestInvalidQueries(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 1, strings.Replace(testConfig(""), `{"services"`, `{"limits":{"body_bytes":2000},"services"`, 1), newModelRunner(8, 5*time.Millisecond))
		big := map[string]any{"model": "m", "max_tokens": 1, "prompt": strings.Repeat("x", 3000)}
		for i, c := range []struct {
			query query
			code  int
			name  string
		}{
			{query{tenant: "nobody", path: "/ask", body: prompt(1)}, 401, "unknown-key"},
			{query{tenant: "rich", path: "/nowhere", body: prompt(1)}, 404, "unknown-path"},
			{query{tenant: "rich", path: "/ask", method: "GET"}, 405, "no-mapping"},
			{query{tenant: "rich", path: "/ask", body: big}, 413, "body-too-large"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":`)}, 400, "bad-json"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`[]`)}, 400, "bad-json"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1,"max_tokens":9}`)}, 400, "bad-prompt"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"prompt":"a","max_tokens":1}`)}, 400, "bad-prompt"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","max_tokens":1}`)}, 400, "bad-prompt"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1,"stream":"yes"}`)}, 400, "bad-prompt"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a"}`)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", body: prompt(0)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", body: prompt(-5)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", body: prompt(1 << 40)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1.5}`)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1e99}`)}, 400, "bad-max-tokens"},
			{query{tenant: "rich", path: "/ask", body: prompt(1), headers: map[string]string{"Content-Type": "text/plain"}}, 415, "bad-type"},
			{query{tenant: "rich", path: "/ask", body: prompt(1), headers: map[string]string{"Content-Encoding": "gzip"}}, 415, "bad-encoding"},
			{query{tenant: "rich", path: "/notes", body: prompt(1), key: strings.Repeat("k", 300)}, 400, "bad-key"},
			{query{tenant: "poor", path: "/ask", body: prompt(5000)}, 402, "no-funds"},
			{query{tenant: "poor", path: "/ask", body: map[string]any{"model": "other", "prompt": "a", "max_tokens": 5000}}, 503, "no-runner"},
			{query{tenant: "rich", path: "/v1/streams/none", method: "GET"}, 404, "no-stream"},
			{query{tenant: "rich", path: "/v1/streams/none?after=x", method: "GET"}, 400, "bad-piece"},
		} {
			c.query.n = uint64(i + 1)
			g := w.send(w.ctx, w.full[0], c.query)
			if g.status != c.code || g.code != c.name {
				t.Errorf("%s %s %.60s: got %d %s, want %d %s", c.query.method, c.query.path, c.query.raw, g.status, g.code, c.code, c.name)
			}
			if g.code != "no-stream" && g.run != "not run" {
				t.Errorf("%s: the run status is %q, want \"not run\"", g.code, g.run)
			}
			if n := w.arrivalCount(c.query.n); n != 0 {
				t.Errorf("%s: the query reached a runner", g.code)
			}
		}
		g := w.send(w.ctx, w.full[0], query{n: 99, tenant: "poor", path: "/ask", body: prompt(5000)})
		if !strings.Contains(gjson.GetBytes(g.body, "error.message").Str, "4096 tokens") {
			t.Errorf("the rejection does not state the allowance: %s", g.body)
		}
		// If the client allows it, max_tokens is lowered to the allowance. No other field changes, and the answer reports it.
		raw := []byte("{\"prompt\":\"a\" , \"max_tokens\" : 5000,\n\"allow_downgrade\":true,\"model\":\"m\"}")
		if g := w.send(w.ctx, w.full[0], query{n: 100, tenant: "poor", path: "/ask", raw: raw}); g.status != 200 || !bytes.Contains(g.body, []byte(`"completion_tokens":4096`)) {
			t.Errorf("a query that allows a lower max_tokens got %d %s", g.status, g.body)
		}
	})
}

// A router that can reach only one other router receives a runner's report that it is leaving, and crashes. The report still
// reaches all routers within 2 s.
func TestLeavingReportBehindCrashedRouter(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a := newModelRunner(8, 5*time.Millisecond)
		a.zone = "south" // it sends its own heartbeats to a router in another zone than the one that crashes
		w := newFullFleet(t, seed, 6, testConfig(""), a)
		receiver, neighbour := w.full[0], w.full[4] // the first router in zone east, and the only other one there
		for _, r := range w.full {
			if r != receiver && r != neighbour {
				w.w.Split([]string{receiver.addr}, []string{r.addr})
			}
		}
		a.mu.Lock()
		a.state, a.muted = "leaving", true
		raw := fmt.Sprintf(`{"name":"m","addr":%q,"born":"1","turn":%d,"state":"leaving","room":8,"labels":{"app":"model","model":"m"}}`, a.addr, a.sequence+1)
		a.mu.Unlock()
		if code := post((&runner.API{Cluster: receiver.router.Cluster, KeyHash: func() string { return "" }}).Heartbeat, raw); code != 200 {
			t.Fatalf("the heartbeat got status %d", code)
		}
		w.crashFullRouter(receiver)
		w.within(2*time.Second, "all routers know that the runner is leaving", func() bool {
			for _, r := range w.full[1:] {
				if r.router.Runners.List()[0].Health() != "leaving" {
					return false
				}
			}
			return true
		})
	})
}

// A report with an impossible queue (more output than the runner's capacity times its maximum length) is ignored: one wrong
// figure must not lower the allowance of all tenants that use the model.
func TestWrongReports(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		faulty := newModelRunner(8, 10*time.Millisecond)
		faulty.name = "liar"
		w := newFullFleet(t, seed, 2, testConfig(""), faulty, newModelRunner(8, 10*time.Millisecond), newModelRunner(8, 10*time.Millisecond))
		faulty.mu.Lock()
		faulty.queuedTokens = 100_000_000_000
		faulty.mu.Unlock()
		time.Sleep(3 * time.Second)
		for i, r := range w.full {
			if g := w.send(w.ctx, r, query{n: uint64(i + 1), tenant: "poor", path: "/ask", body: prompt(4096)}); g.status != 200 {
				t.Errorf("%s: a query to an idle fleet got %d %s", r.name, g.status, g.body)
			}
			time.Sleep(2 * time.Second) // until the next router knows that the query has ended
		}
	})
}

// The health of runners does not flap. Heartbeats that are late by less than 5 s change nothing, and a runner that refuses
// every connection while its heartbeats continue is tried at increasing intervals.
func TestRunnerHealthDoesNotFlap(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 4 {
			all = append(all, newModelRunner(50, 5*time.Millisecond))
		}
		w := newFullFleet(t, seed, 4, testConfig(""), all...)
		late, refusing := all[0], all[1]
		refusing.closeListener()
		l := &resultLog{}
		changes := map[string]int{}
		last := map[string]string{}
		nextToggle := time.Now()
		for i, begun := uint64(1), time.Now(); time.Since(begun) < 60*time.Second; i++ {
			if time.Now().After(nextToggle) {
				late.mu.Lock()
				late.muted = !late.muted
				nextToggle = time.Now().Add(1100 * time.Millisecond)
				if late.muted {
					nextToggle = time.Now().Add(time.Duration(1+w.chance(2300)) * time.Millisecond)
				}
				late.mu.Unlock()
			}
			go func() {
				l.add(w.send(w.ctx, w.full[i%4], query{n: i, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": fmt.Sprint(i)}}))
			}()
			time.Sleep(20 * time.Millisecond)
			for _, r := range w.full {
				for _, e := range r.router.Runners.List() {
					key := r.name + " " + e.Address
					now := e.Health()
					if old, ok := last[key]; ok && old != now && now != "on trial" {
						changes[e.Address]++
					}
					last[key] = now
				}
			}
		}
		time.Sleep(5 * time.Second)
		done := 0
		for _, g := range l.list() {
			if g.status == 200 {
				done++
			}
		}
		t.Logf("health changes in 60 s at 4 routers: %d of a runner with late heartbeats, %d of one that refuses all connections; %d of %d queries answered", changes[late.addr], changes[refusing.addr], done, len(l.list()))
		if changes[late.addr] > 0 {
			t.Errorf("the health of a runner with late heartbeats changed %d times", changes[late.addr])
		}
		if changes[refusing.addr] > 4*16 {
			t.Errorf("the health of a runner that refuses all connections changed %d times", changes[refusing.addr])
		}
		if done < len(l.list())*99/100 {
			t.Errorf("only %d of %d queries were answered", done, len(l.list()))
		}
	})
}
