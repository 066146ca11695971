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

var cutFor = flag.Duration("cut", 10*time.Minute, "how long a hall is cut off, in simulated time")

// ledger is all outcomes that origins had.
type ledger struct {
	mu  sync.Mutex
	all []got
}

func (l *ledger) add(g got) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, g)
}

func (l *ledger) list() []got {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]got{}, l.all...)
}

// honest holds outcomes against what runners saw: once-only queries ran once at most, what was said
// not to have run did not, answers belong to their queries, and none came twice to a runner.
func (w *whole) honest(l *ledger) {
	w.diary.mu.Lock()
	defer w.diary.mu.Unlock()
	ids, ran := map[string]int{}, map[uint64]int{}
	for _, s := range w.diary.all {
		ids[s.id]++
		ran[s.n]++
	}
	for id, n := range ids {
		if n > 1 {
			w.t.Errorf("query %s came to runners %d times", id, n)
		}
	}
	once := map[uint64]bool{}
	for _, g := range l.all {
		if g.key != "" {
			once[g.n] = true
		}
		if g.run == "not run" && ids[g.id] > 0 {
			w.t.Errorf("query %s (%d) was said not to have run (%s), but it did", g.id, g.n, g.code)
		}
		if g.status == 200 && g.code == "" && !bytes.Contains(g.body, []byte(fmt.Sprintf(`"n":%d`, g.n))) {
			w.t.Errorf("query %d was answered %s", g.n, g.body)
		}
		if (g.status == 503 || g.status == 429) && g.retry == "" {
			w.t.Errorf("query %d was rejected with %s and no Retry-After", g.n, g.code)
		}
	}
	for n := range once {
		if ran[n] > 1 {
			w.t.Errorf("query %d may run once and ran %d times", n, ran[n])
		}
	}
}

// rolling is the most that runners saw of a tenant in any window.
func (w *whole) rolling(tenant string, window time.Duration) int {
	w.diary.mu.Lock()
	defer w.diary.mu.Unlock()
	most := 0
	var at []time.Time
	for _, s := range w.diary.all {
		if s.tenant != tenant {
			continue
		}
		at = append(at, s.at)
		for at[len(at)-1].Sub(at[0]) >= window {
			at = at[1:]
		}
		most = max(most, len(at))
	}
	return most
}

// Everything at once: cores, routers and runners crash, hang and are cut off while origins ask and
// ask again elsewhere. Once-only stays once-only, "not run" stays true, answers stay whole.
func TestQueryStorm(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 6, plainLay(`,"metered":{"funded":true,"keys":["`+key("metered")+`"],"quota":{"units":30,"window_s":5}}`),
			model(8, 10*time.Millisecond), model(8, 10*time.Millisecond), model(8, 10*time.Millisecond), orders(), orders())
		l := &ledger{}
		stop := time.Now().Add(40 * time.Second)
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() {
				w.origin(i, l, func() bool { return !time.Now().Before(stop) })
			})
		}
		for time.Now().Before(stop) {
			switch r := w.full[w.chance(len(w.full))]; w.chance(6) {
			case 0:
				w.crashFull(r)
				env50()
				w.startFull(r)
			case 1:
				s := w.runners[w.chance(len(w.runners))]
				s.stop()
				env50()
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
		w.honest(l)
		if n := w.rolling("metered", 5*time.Second); n > 30 {
			t.Errorf("%d queries in a window of a quota of 30", n)
		}
		sum := map[string]int{}
		for _, g := range l.list() {
			sum[fmt.Sprint(g.status, g.code)]++
		}
		t.Logf("outcomes %v", sum)
		if sum["200"] < 200 {
			t.Errorf("only %d queries were answered", sum["200"])
		}
		// And after all of it, service: every router answers a once-only query soon.
		for i, r := range w.full {
			w.within(12*time.Second, r.name+" serves", func() bool {
				n := 900000 + lastID.Add(1)
				return w.send(w.ctx, r, ask{n: n, tenant: "rich", path: "/orders", key: fmt.Sprintf("end%d-%d", i, n), body: map[string]any{"n": n}}).status == 200
			})
		}
	})
}

// origin asks queries of all kinds, each again elsewhere until it has an outcome, until it is over.
func (w *whole) origin(i int, l *ledger, over func() bool) {
	for k := uint64(1); !over(); k++ {
		a := ask{n: uint64(i)*100000 + k, tenant: "rich", path: "/ask", body: prompt(5)}
		switch (uint64(i) + k) % 4 {
		case 0:
			a.path, a.key = "/orders", fmt.Sprintf("k%d", a.n)
		case 1:
			a.path, a.key = "/notes", fmt.Sprintf("k%d", a.n)
		case 2:
			a.tenant = "metered"
		}
		a.body["nonce"] = a.n
		for try := range 4 {
			r := w.full[(i+int(k)+try)%len(w.full)]
			if r.now() == nil {
				continue
			}
			ctx, end := context.WithTimeout(w.ctx, 15*time.Second)
			g := w.send(ctx, r, a)
			end()
			if r.now() == nil {
				g = got{ask: a} // its router died: the origin heard nothing
			}
			l.add(g)
			if g.status == 200 || a.key == "" && g.run != "not run" {
				break
			}
			env50()
		}
	}
}

func env50() { time.Sleep(50 * time.Millisecond) }

// sides lists the addresses of a zone's processes, and those of all others.
func (w *whole) sides(zone string) (in, out []string) {
	put := func(at, addr string) {
		if at == zone {
			in = append(in, addr)
		} else {
			out = append(out, addr)
		}
	}
	for _, c := range w.cores {
		put(c.zone, c.addr)
	}
	for _, r := range w.full {
		put(r.zone, r.addr)
	}
	for _, s := range w.runners {
		put(s.zone, s.addr)
	}
	return in, out
}

// A zone is cut off for long: it serves on with its last configuration, marked stale, spends its own share
// of quotas, rejects keyed once-only queries as not run, and upon rejoining obeys the newest configuration.
func TestCutHall(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		quota := func(n int) string {
			return fmt.Sprintf(`,"metered":{"funded":true,"keys":["%s"],"quota":{"units":%d,"window_s":10}}`, key("metered"), n)
		}
		w := newWhole(t, seed, 8, plainLay(quota(40)), model(8, 10*time.Millisecond), model(8, 10*time.Millisecond), model(8, 10*time.Millisecond), model(8, 10*time.Millisecond), orders(), orders())
		time.Sleep(3 * time.Second)
		inside := map[string]bool{"east": true}
		in, out := w.sides("east")
		l := &ledger{}
		n := uint64(0)
		round := func(path, tenant string, keyed bool) map[string]int {
			sum := map[string]int{}
			var all sync.WaitGroup
			var mu sync.Mutex
			for _, r := range w.full {
				n++
				a := ask{n: n, tenant: tenant, path: path, body: prompt(2)}
				if keyed {
					a.key = fmt.Sprintf("k%d", n)
				}
				all.Go(func() {
					g := w.send(w.ctx, r, a)
					l.add(g)
					mu.Lock()
					defer mu.Unlock()
					where := "out "
					if inside[r.zone] {
						where = "in "
					}
					sum[where+fmt.Sprint(g.status)+g.code]++
				})
			}
			all.Wait()
			return sum
		}
		w.w.Split(in, out)
		time.Sleep(8 * time.Second) // silent runners are found out, a primary inside is replaced
		until := time.Now().Add(*cutFor)
		for time.Now().Before(until) {
			if s := round("/ask", "rich", false); s["in 200"] != 2 || s["out 200"] != 6 {
				t.Fatalf("unkeyed queries during the cut: %v", s)
			}
			if s := round("/notes", "rich", true); s["in 503no-core"] != 2 || s["out 200"] != 6 {
				t.Fatalf("keyed once-only queries during the cut: %v", s)
			}
			for range 10 {
				round("/ask", "metered", false)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(time.Duration(w.chance(50)) * time.Second)
		}
		for _, r := range w.full {
			if r.r.Cluster.CoreTimedOut() != inside[r.zone] {
				t.Errorf("%s: stale %v", r.name, r.r.Cluster.CoreTimedOut())
			}
		}
		o := w.operator()
		p := o.putRaw([]byte(plainLay(quota(20))), "")
		if p.code != 200 {
			t.Fatalf("the greater part took no configuration: %d", p.code)
		}
		w.w.Heal()
		w.within(2*time.Second, "all obey the newest layout", func() bool {
			for _, r := range w.full {
				if r.r.Cluster.Config().Version < p.version || r.r.Cluster.CoreTimedOut() {
					return false
				}
			}
			return true
		})
		if got := w.rolling("metered", 10*time.Second); got > 40 {
			t.Errorf("%d queries in a window of a quota of 40", got)
		}
		time.Sleep(10 * time.Second)
		mark := len(w.seen())
		for range 30 {
			round("/ask", "metered", false)
			time.Sleep(500 * time.Millisecond)
		}
		w.diary.mu.Lock()
		w.diary.all = w.diary.all[mark:]
		w.diary.mu.Unlock()
		if got := w.rolling("metered", 10*time.Second); got > 20 || got < 10 {
			t.Errorf("after rejoining %d queries in a window of a quota of 20", got)
		}
		w.honest(l)
	})
}

// A withdrawn key is rejected at once on whatever connection, and its running streams end explicitly.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 4, plainLay(`,"gone":{"funded":true,"keys":["`+key("gone")+`"]}`), model(8, 100*time.Millisecond))
		done := make(chan got, 1)
		body := prompt(300)
		body["stream"] = true
		go func() {
			done <- w.send(w.ctx, w.full[1], ask{n: 1, tenant: "gone", path: "/ask", body: body})
		}()
		time.Sleep(3 * time.Second)
		w.put(plainLay(""))
		acked := time.Now()
		for i, r := range w.full {
			if g := w.send(w.ctx, r, ask{n: uint64(10 + i), tenant: "gone", path: "/ask", body: prompt(1)}); g.status != 401 {
				t.Errorf("%s answered a withdrawn key with %d", r.name, g.status)
			}
		}
		g := <-done
		if took := time.Since(acked); took > 2*time.Second {
			t.Errorf("the stream ran on for %s", took)
		}
		if !strings.Contains(string(g.body), "event: trouble") || !strings.Contains(string(g.body), "key-withdrawn") || strings.Contains(string(g.body), "[DONE]") {
			t.Errorf("the stream ended with %q", tail(g.body))
		}
	})
}

func tail(b []byte) string { return string(b[max(0, len(b)-200):]) }

// A runner that sends heartbeats but answers nothing is found out by its answers, and does not come back into
// standing by its heartbeats alone.
func TestStuckRunner(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := model(8, 10*time.Millisecond), model(8, 10*time.Millisecond)
		a.name, b.name = "a", "b"
		w := newWhole(t, seed, 2, plainLay(""), a, b)
		a.mu.Lock()
		a.hang = true
		a.mu.Unlock()
		flips, was := 0, ""
		for i := range 600 {
			i := i
			go w.send(w.ctx, w.full[i%2], ask{n: uint64(i + 1), tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": fmt.Sprint(i)}})
			time.Sleep(100 * time.Millisecond)
			for _, e := range w.full[0].r.Runners.List() {
				if e.Address == a.addr && i == 300 && e.Health() == "" {
					t.Error("after 30 s of silence the runner is in good standing")
				}
				if e.Address == a.addr {
					if why := e.Health(); why != was {
						was = why
						flips++
					}
				}
			}
		}
		late := 0
		w.diary.mu.Lock()
		for _, s := range w.diary.all {
			if s.runner == "a" && s.n > 200 {
				late++
			}
		}
		total := len(w.diary.all)
		w.diary.mu.Unlock()
		t.Logf("%d of %d queries went to the stuck runner after 20 s; its standing changed %d times in 60 s", late, total, flips)
		if late > 8 {
			t.Errorf("%d queries went to a runner that had answered nothing for 20 s", late)
		}
		if flips > 8 {
			t.Errorf("standing changed %d times", flips)
		}
		if total < 500 {
			t.Errorf("only %d queries reached a runner", total)
		}
	})
}

// A leaving runner's word, told to a router that dies at once, binds every other within 2 s.
func TestLeavingWord(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := model(8, 5*time.Millisecond), model(8, 5*time.Millisecond)
		a.name, b.name = "a", "b"
		w := newWhole(t, seed, 6, plainLay(""), a, b)
		told := w.full[w.chance(len(w.full))]
		face := &runner.API{Cluster: told.r.Cluster, KeyHash: func() string { return "" }}
		a.mu.Lock()
		a.state, a.mute = "leaving", true
		raw := fmt.Sprintf(`{"name":"a","addr":%q,"born":"1","turn":%d,"state":"leaving","room":8,"labels":{"app":"model","model":"m"}}`, a.addr, a.turn+1)
		a.mu.Unlock()
		if code := post(face.Heartbeat, raw); code != 200 {
			t.Fatalf("the word was answered %d", code)
		}
		w.crashFull(told)
		at := time.Now()
		time.Sleep(2 * time.Second)
		for i := range 60 {
			for _, r := range w.full {
				if r.now() != nil {
					n := uint64(i*10 + 1000)
					go w.send(w.ctx, r, ask{n: n, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 1, "prompt": fmt.Sprint(i)}})
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, s := range w.seen() {
			if s.runner == "a" && s.at.Sub(at) > 2*time.Second {
				t.Fatalf("the leaving runner got a query after %s", s.at.Sub(at))
			}
		}
		if len(w.seen()) < 100 {
			t.Errorf("only %d queries reached a runner", len(w.seen()))
		}
	})
}

// Queries of one kind differ in length: a runner gets none that is longer than it serves, also from
// a queue in which shorter ones stand before it.
func TestLengths(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		short, long := model(2, 20*time.Millisecond), model(2, 20*time.Millisecond)
		short.most, long.most = 50, 5000
		lay := strings.ReplaceAll(plainLay(""), `"patience_ms":20000`, `"patience_ms":600000`)
		w := newWhole(t, seed, 1, lay, short, long)
		l := &ledger{}
		var all sync.WaitGroup
		for i := range uint64(80) {
			n := 10
			if w.chance(2) == 0 {
				n = 60
			}
			who := []string{"rich", "poor"}[w.chance(2)]
			all.Go(func() { l.add(w.send(w.ctx, w.full[0], ask{n: i + 1, tenant: who, path: "/ask", body: prompt(n)})) })
		}
		all.Wait()
		for _, g := range l.list() {
			if g.status != 200 {
				t.Fatalf("%d %s", g.status, g.body)
			}
		}
		if short.long > 0 {
			t.Errorf("%d queries were too long for the runner that got them", short.long)
		}
		w.honest(l)
	})
}

// A query that waits obeys the configuration in force when it goes, not the one it came under.
func TestQueuedObeyNewLayout(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a, b := model(1, 100*time.Millisecond), model(1, 100*time.Millisecond)
		a.name, b.name = "a", "b"
		a.labels, b.labels = map[string]string{"app": "model", "model": "m", "set": "a"}, map[string]string{"app": "model", "model": "m", "set": "b"}
		more := `,"gone":{"funded":true,"keys":["` + key("gone") + `"]}`
		w := newWhole(t, seed, 2, plainLay(more), a, b)
		l := &ledger{}
		var all sync.WaitGroup
		for i := range uint64(24) {
			who := []string{"rich", "gone"}[i%2]
			all.Go(func() { l.add(w.send(w.ctx, w.full[i%2], ask{n: i + 1, tenant: who, path: "/ask", body: prompt(10)})) })
		}
		time.Sleep(1500 * time.Millisecond)
		w.put(strings.Replace(plainLay(""), `"select":"app=model"`, `"select":"app=model, set=b"`, 1))
		acked := time.Now()
		all.Wait()
		for _, s := range w.seen() {
			if s.runner == "a" && s.at.Sub(acked) > 2*time.Second {
				t.Errorf("a runner that the configuration left out got query %d %s after it", s.n, s.at.Sub(acked))
			}
			if s.tenant == "gone" && s.at.Sub(acked) > 2*time.Second {
				t.Errorf("query %d of a withdrawn key went to a runner %s after it", s.n, s.at.Sub(acked))
			}
		}
		sum := map[string]int{}
		for _, g := range l.list() {
			sum[fmt.Sprint(g.tenant, " ", g.status, g.code)]++
		}
		t.Logf("outcomes %v", sum)
		if sum["rich 200"] < 12 || sum["gone 401unknown-key"] == 0 {
			t.Errorf("outcomes %v", sum)
		}
		w.honest(l)
	})
}

// Beyond the bound on queries under way, a crowd is rejected before its bodies are read.
func TestTooMany(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 1, strings.Replace(plainLay(""), `{"services"`, `{"limits":{"open":5},"services"`, 1), model(8, 100*time.Millisecond))
		l := &ledger{}
		var all sync.WaitGroup
		for i := range uint64(20) {
			all.Go(func() { l.add(w.send(w.ctx, w.full[0], ask{n: i + 1, tenant: "rich", path: "/ask", body: prompt(10)})) })
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		sum := map[string]int{}
		for _, g := range l.list() {
			sum[fmt.Sprint(g.status, g.code)]++
			if g.code == "too-many" && g.took > 0 {
				t.Errorf("the rejection took %s", g.took)
			}
		}
		if sum["200"] != 5 || sum["503too-many"] != 15 {
			t.Errorf("twenty queries where five may be open: %v", sum)
		}
		w.honest(l)
	})
}

// Every bad query gets its own answer, and none of them reaches a runner.
func TestBounces(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 1, strings.Replace(plainLay(""), `{"services"`, `{"limits":{"body_bytes":2000},"services"`, 1), model(8, 5*time.Millisecond))
		big := map[string]any{"model": "m", "max_tokens": 1, "prompt": strings.Repeat("x", 3000)}
		for i, c := range []struct {
			ask  ask
			code int
			name string
		}{
			{ask{tenant: "nobody", path: "/ask", body: prompt(1)}, 401, "unknown-key"},
			{ask{tenant: "rich", path: "/nowhere", body: prompt(1)}, 404, "unknown-path"},
			{ask{tenant: "rich", path: "/ask", method: "GET"}, 405, "no-mapping"},
			{ask{tenant: "rich", path: "/ask", body: big}, 413, "body-too-large"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":`)}, 400, "bad-json"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`[]`)}, 400, "bad-json"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1,"max_tokens":9}`)}, 400, "bad-prompt"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"prompt":"a","max_tokens":1}`)}, 400, "bad-prompt"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","max_tokens":1}`)}, 400, "bad-prompt"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1,"stream":"yes"}`)}, 400, "bad-prompt"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a"}`)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", body: prompt(0)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", body: prompt(-5)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", body: prompt(1 << 40)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1.5}`)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", raw: []byte(`{"model":"m","prompt":"a","max_tokens":1e99}`)}, 400, "bad-max-tokens"},
			{ask{tenant: "rich", path: "/ask", body: prompt(1), head: map[string]string{"Content-Type": "text/plain"}}, 415, "bad-type"},
			{ask{tenant: "rich", path: "/ask", body: prompt(1), head: map[string]string{"Content-Encoding": "gzip"}}, 415, "bad-encoding"},
			{ask{tenant: "rich", path: "/notes", body: prompt(1), key: strings.Repeat("k", 300)}, 400, "bad-key"},
			{ask{tenant: "poor", path: "/ask", body: prompt(5000)}, 402, "no-funds"},
			{ask{tenant: "poor", path: "/ask", body: map[string]any{"model": "other", "prompt": "a", "max_tokens": 5000}}, 503, "no-runner"},
			{ask{tenant: "rich", path: "/v1/streams/none", method: "GET"}, 404, "no-stream"},
			{ask{tenant: "rich", path: "/v1/streams/none?after=x", method: "GET"}, 400, "bad-piece"},
		} {
			c.ask.n = uint64(i + 1)
			g := w.send(w.ctx, w.full[0], c.ask)
			if g.status != c.code || g.code != c.name {
				t.Errorf("%s %s %.60s: answered %d %s, expected %d %s", c.ask.method, c.ask.path, c.ask.raw, g.status, g.code, c.code, c.name)
			}
			if g.code != "no-stream" && g.run != "not run" {
				t.Errorf("%s: said %q", g.code, g.run)
			}
			if n := w.saw(c.ask.n); n != 0 {
				t.Errorf("%s: a runner saw it", g.code)
			}
		}
		g := w.send(w.ctx, w.full[0], ask{n: 99, tenant: "poor", path: "/ask", body: prompt(5000)})
		if !strings.Contains(gjson.GetBytes(g.body, "error.message").Str, "4096 tokens") {
			t.Errorf("the refusal does not state the allowance: %s", g.body)
		}
		// Lowered with the origin's leave: that one field and nothing else, and it is said.
		raw := []byte("{\"prompt\":\"a\" , \"max_tokens\" : 5000,\n\"allow_downgrade\":true,\"model\":\"m\"}")
		if g := w.send(w.ctx, w.full[0], ask{n: 100, tenant: "poor", path: "/ask", raw: raw}); g.status != 200 || !bytes.Contains(g.body, []byte(`"completion_tokens":4096`)) {
			t.Errorf("lowered: %d %s", g.status, g.body)
		}
	})
}

// A word that reached one node only, behind a router that is then gone, still comes to all in 2 s.
func TestWordBehindDeadRouter(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a := model(8, 5*time.Millisecond)
		a.zone = "south" // it sends heartbeats to another zone than the one in question
		w := newWhole(t, seed, 6, plainLay(""), a)
		told, leaf := w.full[0], w.full[4] // the first of zone east, and its only child there
		for _, r := range w.full {
			if r != told && r != leaf {
				w.w.Split([]string{told.addr}, []string{r.addr})
			}
		}
		a.mu.Lock()
		a.state, a.mute = "leaving", true
		raw := fmt.Sprintf(`{"name":"m","addr":%q,"born":"1","turn":%d,"state":"leaving","room":8,"labels":{"app":"model","model":"m"}}`, a.addr, a.turn+1)
		a.mu.Unlock()
		if code := post((&runner.API{Cluster: told.r.Cluster, KeyHash: func() string { return "" }}).Heartbeat, raw); code != 200 {
			t.Fatalf("the word was answered %d", code)
		}
		w.crashFull(told)
		w.within(2*time.Second, "all know", func() bool {
			for _, r := range w.full[1:] {
				if r.r.Runners.List()[0].Health() != "leaving" {
					return false
				}
			}
			return true
		})
	})
}

// A runner whose late report can't be true (more output queued than its room times its longest answer)
// is not believed: one wrong figure must not take the allowance of all who use its model.
func TestWrongReports(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		liar := model(8, 10*time.Millisecond)
		liar.name = "liar"
		w := newWhole(t, seed, 2, plainLay(""), liar, model(8, 10*time.Millisecond), model(8, 10*time.Millisecond))
		liar.mu.Lock()
		liar.queued = 100_000_000_000
		liar.mu.Unlock()
		time.Sleep(3 * time.Second)
		for i, r := range w.full {
			if g := w.send(w.ctx, r, ask{n: uint64(i + 1), tenant: "poor", path: "/ask", body: prompt(4096)}); g.status != 200 {
				t.Errorf("%s: an idle fleet answered %d %s", r.name, g.status, g.body)
			}
			time.Sleep(2 * time.Second) // the next router hears that it is over
		}
	})
}

// Standing does not flap: heartbeats that come late but within 5 s change nothing, and a runner that
// refuses every connection while its heartbeats go on is tried ever more rarely.
func TestStandingHolds(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 4 {
			all = append(all, model(50, 5*time.Millisecond))
		}
		w := newWhole(t, seed, 4, plainLay(""), all...)
		late, deaf := all[0], all[1]
		deaf.deaf()
		l := &ledger{}
		turns := map[string]int{}
		was := map[string]string{}
		mute := time.Now()
		for i, begun := uint64(1), time.Now(); time.Since(begun) < 60*time.Second; i++ {
			if time.Now().After(mute) {
				late.mu.Lock()
				late.mute = !late.mute
				mute = time.Now().Add(1100 * time.Millisecond)
				if late.mute {
					mute = time.Now().Add(time.Duration(1+w.chance(2300)) * time.Millisecond)
				}
				late.mu.Unlock()
			}
			go func() {
				l.add(w.send(w.ctx, w.full[i%4], ask{n: i, tenant: "rich", path: "/ask", body: map[string]any{"model": "m", "max_tokens": 2, "prompt": fmt.Sprint(i)}}))
			}()
			time.Sleep(20 * time.Millisecond)
			for _, r := range w.full {
				for _, e := range r.r.Runners.List() {
					key := r.name + " " + e.Address
					now := e.Health()
					if old, ok := was[key]; ok && old != now && now != "on trial" {
						turns[e.Address]++
					}
					was[key] = now
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
		t.Logf("in 60 s, over 4 routers: %d changes for a runner of late heartbeats, %d for one that refuses all; %d of %d queries answered", turns[late.addr], turns[deaf.addr], done, len(l.list()))
		if turns[late.addr] > 0 {
			t.Errorf("the standing of a runner whose heartbeats are late changed %d times", turns[late.addr])
		}
		if turns[deaf.addr] > 4*16 {
			t.Errorf("the standing of a runner that refuses all changed %d times", turns[deaf.addr])
		}
		if done < len(l.list())*99/100 {
			t.Errorf("%d of %d queries answered", done, len(l.list()))
		}
	})
}
