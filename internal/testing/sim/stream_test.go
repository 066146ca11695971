package sim_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/model/fleetconfig"
)

// clientConn is a client's connection. It records what arrives until closed returns true: the router has crashed or the
// client has hung up.
type clientConn struct {
	mu     sync.Mutex
	header http.Header
	buf    bytes.Buffer
	closed func() bool
	code   int
}

func (p *clientConn) Header() http.Header { return p.header }
func (p *clientConn) Flush()              {}
func (p *clientConn) WriteHeader(code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed() && p.code == 0 {
		p.code = code
	}
}
func (p *clientConn) Write(b []byte) (int, error) {
	if p.closed() {
		return 0, errors.New("the connection is closed")
	}
	p.WriteHeader(200)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.Write(b)
}

// receive sends a request to one router, and returns what arrives until the answer ends, the router crashes or, if hangup
// is not 0, that time has passed and the client hangs up.
func (w *fullFleet) receive(r *fullRouter, req *http.Request, hangup time.Duration) (code int, id string, raw string) {
	run := r.current()
	if run == nil {
		return 0, "", ""
	}
	ctx, end := context.WithCancel(req.Context())
	defer end()
	until := time.Now().Add(hangup)
	hungUp := false
	var mu sync.Mutex
	p := &clientConn{header: http.Header{}, closed: func() bool {
		mu.Lock()
		defer mu.Unlock()
		return hungUp || r.current() != run
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if e := recover(); e != nil && e != http.ErrAbortHandler {
				panic(e)
			}
		}()
		run.Clients.ServeHTTP(p, req.WithContext(ctx))
	}()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for live := true; live; {
		select {
		case <-done:
			live = false
		case <-t.C:
			live = r.current() == run && (hangup == 0 || time.Now().Before(until))
		}
	}
	mu.Lock()
	hungUp = true
	mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.code != 0 {
		id = p.header.Get(runner.RequestHeader)
	}
	return p.code, id, p.buf.String()
}

// streamResult is what a client received of one stream.
type streamResult struct {
	n         uint64
	id        string
	chunks    []string
	end       string // "done", the code of an error event, or "" if the stream broke off without an end
	violation string // the guarantee that was broken, if any
	requests  int
}

// parse adds the complete events of raw to the result, and ignores an incomplete one, as a client's parser does.
func (o *streamResult) parse(raw string) {
	for {
		event, rest, ok := strings.Cut(raw, "\n\n")
		if !ok || o.end != "" {
			return
		}
		raw = rest
		if strings.HasPrefix(event, "event: trouble") {
			_, data, _ := strings.Cut(event, "data: ")
			o.end = gjson.Get(data, "error.code").Str
			return
		}
		data, _, _ := strings.Cut(strings.TrimPrefix(event, "data: "), "\n")
		if data == "[DONE]" {
			o.end = "done"
			return
		}
		_, eventID, _ := strings.Cut(event, "\nid: ")
		i := len(o.chunks)
		if eventID != strconv.Itoa(i+1) || gjson.Get(data, "i").Int() != int64(i) {
			o.violation = fmt.Sprintf("chunk %d arrived as %q", i+1, event)
		}
		if gjson.Get(data, "n").Uint() != o.n {
			o.violation = fmt.Sprintf("chunk of another query's answer: %q", event)
		}
		o.chunks = append(o.chunks, data)
	}
}

// verify returns which guarantee the stream broke, or "": all chunks come from one run, and the stream ends after the last
// chunk of the run, neither earlier nor later.
func (o *streamResult) verify() string {
	if o.violation != "" {
		return o.violation
	}
	run := ""
	for i, p := range o.chunks {
		if r := gjson.Get(p, "run").Str; r != "" {
			if run != "" && r != run {
				return fmt.Sprintf("joins runs %s and %s at chunk %d", run, r, i+1)
			}
			run = r
		}
		if last := gjson.Get(p, "last").Bool(); last && i < len(o.chunks)-1 {
			return fmt.Sprintf("continues after the last chunk of its run, %d", i+1)
		} else if !last && i == len(o.chunks)-1 && o.end == "done" {
			return fmt.Sprintf("ended before the last chunk of its run, after %d", i+1)
		}
	}
	if o.end == "done" && len(o.chunks) == 0 {
		return "ended without a chunk"
	}
	return ""
}

// runStream requests a stream from one router. Whenever the connection breaks off without an end, it requests the rest of
// the stream from the next router.
func (w *fullFleet) runStream(at int, n uint64, path string, tokens int, hangup func() time.Duration) *streamResult {
	o := &streamResult{n: n}
	stop := time.Now().Add(60 * time.Second)
	for o.end == "" && time.Now().Before(stop) {
		r := w.full[at%len(w.full)]
		at++
		if r.current() == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var req *http.Request
		if o.id == "" {
			body := fmt.Sprintf(`{"model":"m","prompt":"p%d","stream":true,"max_tokens":%d}`, n, tokens)
			req = httptest.NewRequestWithContext(w.ctx, "POST", path, strings.NewReader(body))
			req.Header.Set("Content-Type", "application/json")
		} else {
			req = httptest.NewRequestWithContext(w.ctx, "GET", fmt.Sprintf("/v1/streams/%s?after=%d", o.id, len(o.chunks)), nil)
		}
		req.Header.Set("Authorization", "Bearer demo-rich")
		req.Header.Set("X-N", strconv.FormatUint(n, 10))
		o.requests++
		code, id, raw := w.receive(r, req, hangup())
		switch {
		case code == 200:
			if o.id == "" {
				o.id = id
			}
			o.parse(raw)
		case code == 404 && o.id != "":
			o.end = "no-stream"
		case code != 0 && o.id == "":
			if gjson.Get(raw, "error.run").Str == "unknown" {
				o.end = gjson.Get(raw, "error.code").Str
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return o
}

// noHangup makes a client receive until the end of the answer.
func noHangup() time.Duration { return 0 }

// repeatConfig is testConfig with reruns of lost streams allowed or not for /ask.
func repeatConfig(on bool) string {
	return strings.Replace(testConfig(""), `"ask":{"rank":3,`, fmt.Sprintf(`"ask":{"rank":3,"repeat":%v,`, on), 1)
}

// ownerAndReplica returns the owner and the replica of a stream, according to the routers themselves.
func (w *fullFleet) ownerAndReplica(id string) (owner, replica *fullRouter) {
	for _, r := range w.full {
		run := r.current()
		if run == nil {
			continue
		}
		for _, h := range run.Streams.List() {
			if h.RequestID == id && h.Own {
				owner = r
			} else if h.RequestID == id {
				replica = r
			}
		}
	}
	return owner, replica
}

// One or two of the runner, the owner and the replica of a stream crash at any time, with and without a permitted rerun. No
// stream may break a guarantee, and with identical reruns permitted the stream must end complete unless owner and replica
// crash together. The log output is the source of the table in docs/measurements.md.
func TestStreamSurvivesCrashes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		fault    func(w *fullFleet, id, addr string)
		complete bool // whether the stream must end complete if identical reruns are permitted
	}{
		{"runner", func(w *fullFleet, _, addr string) { w.crashRunnerAt(addr) }, true},
		{"router", func(w *fullFleet, id, _ string) { c, _ := w.ownerAndReplica(id); w.crashFullRouter(c) }, true},
		{"replica", func(w *fullFleet, id, _ string) { _, s := w.ownerAndReplica(id); w.crashFullRouter(s) }, true},
		{"runner and router", func(w *fullFleet, id, addr string) {
			c, _ := w.ownerAndReplica(id)
			w.crashRunnerAt(addr)
			w.crashFullRouter(c)
		}, true},
		{"runner and replica", func(w *fullFleet, id, addr string) {
			_, s := w.ownerAndReplica(id)
			w.crashRunnerAt(addr)
			w.crashFullRouter(s)
		}, true},
		{"router and replica", func(w *fullFleet, id, _ string) {
			c, s := w.ownerAndReplica(id)
			w.crashFullRouter(c)
			w.crashFullRouter(s)
		}, false},
		{"router, then the router that took over", func(w *fullFleet, id, _ string) {
			c, _ := w.ownerAndReplica(id)
			w.crashFullRouter(c)
			if _, s := w.ownerAndReplica(id); s == nil || ended(s, id) {
				return // the stream had ended before its router crashed
			}
			if config := w.full[0].router.Cluster.Config(); !slices.ContainsFunc(config.TrafficClasses, func(l fleetconfig.TrafficClass) bool { return l.RepeatLostStreams }) {
				return
			}
			w.within(9*time.Second, "the stream has a new owner and a replica with permission to rerun", func() bool {
				n, s := w.ownerAndReplica(id)
				return n != nil && n != c && s != nil && slices.ContainsFunc(s.current().Streams.List(), func(h streamstore.Info) bool { return h.RequestID == id && h.Idempotent })
			})
			n, _ := w.ownerAndReplica(id)
			w.crashFullRouter(n)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			counts := map[string]int{}
			for _, repeat := range []bool{false, true} {
				for _, identical := range []bool{true, false} {
					if !repeat && !identical {
						continue
					}
					overSeeds(t, func(t *testing.T, seed uint64) {
						var all []*simRunner
						for i := range 4 {
							m := newModelRunner(8, 40*time.Millisecond)
							switch {
							case identical:
							case seed%2 == 0:
								m.differFrom = 1 + int(seed)*13%90
							default:
								m.shortBy = 30 * i // runs of different length
							}
							all = append(all, m)
						}
						w := newFullFleet(t, seed, 8, repeatConfig(repeat), all...)
						w.earnRetries()
						ch := make(chan *streamResult, 1)
						go func() { ch <- w.runStream(w.chance(8), 1, "/ask", 100, noHangup) }()
						time.Sleep(time.Duration(300+w.chance(3600)) * time.Millisecond)
						s := w.arrivals()
						if w.arrivalCount(1) != 1 {
							t.Fatalf("%d runs", w.arrivalCount(1))
						}
						c.fault(w, s[len(s)-1].id, s[len(s)-1].addr)
						o := <-ch
						if bad := o.verify(); bad != "" || o.end == "" {
							t.Errorf("repeat %v, identical %v: the stream ended %q with %d chunks: %s", repeat, identical, o.end, len(o.chunks), bad)
						}
						if repeat && identical && c.complete && o.end != "done" {
							t.Errorf("the stream ended %q after %d chunks, want a complete one", o.end, len(o.chunks))
						}
						counts[fmt.Sprintf("repeat %v, identical %v: %s", repeat, identical, o.end)]++
					})
				}
			}
			t.Logf("%v", counts)
		})
	}
}

// earnRetries waits until every router knows the others as ready, and sends first attempts through every router, so that
// each earns its share of the retry budget.
func (w *fullFleet) earnRetries() {
	w.within(3*time.Second, "all routers know each other as ready", func() bool {
		for _, r := range w.full {
			for _, n := range r.router.Cluster.Nodes() {
				if !n.Ready {
					return false
				}
			}
		}
		return true
	})
	var all sync.WaitGroup
	for i := range 30 * len(w.full) {
		all.Go(func() {
			w.send(w.ctx, w.full[i%len(w.full)], query{n: uint64(100000 + i), tenant: "rich", path: "/ask", body: prompt(1)})
		})
	}
	all.Wait()
}

// ended reports whether a router knows the end of a stream.
func ended(r *fullRouter, id string) bool {
	return slices.ContainsFunc(r.current().Streams.List(), func(h streamstore.Info) bool { return h.RequestID == id && h.Ended })
}

// crashRunnerAt crashes the runner at an address.
func (w *fullFleet) crashRunnerAt(addr string) {
	for _, s := range w.runners {
		if s.addr == addr {
			s.stop()
		}
	}
}

// Routers, runners, cores and links fail repeatedly and at the same time, and clients hang up and resume. No stream may lose
// or repeat a chunk, join two runs, or end before its last chunk, whether runs are identical or not.
func TestStreamStorm(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for i := range 5 {
			m := newModelRunner(16, 20*time.Millisecond)
			switch seed % 3 {
			case 1:
				m.differFrom = 1 + int(seed*13%60)
			case 2:
				m.shortBy = i
			}
			all = append(all, m)
		}
		w := newFullFleet(t, seed, 8, repeatConfig(true), all...)
		var mu sync.Mutex
		counts := map[string]int{}
		stop := time.Now().Add(40 * time.Second)
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				for k := uint64(1); time.Now().Before(stop); k++ {
					o := w.runStream(i+int(k), uint64(i)*1000+k, "/ask", 80, func() time.Duration {
						if w.chance(3) > 0 {
							return 0
						}
						return time.Duration(w.chance(3000)) * time.Millisecond
					})
					mu.Lock()
					if bad := o.verify(); bad != "" {
						t.Errorf("stream %s (%d): %s", o.id, o.n, bad)
					}
					counts[o.end]++
					mu.Unlock()
				}
			})
		}
		for time.Now().Before(stop) {
			r, q := w.full[w.chance(8)], w.full[w.chance(8)]
			s := w.runners[w.chance(len(w.runners))]
			switch w.chance(9) {
			case 0, 1:
				w.crashFullRouter(r)
				time.Sleep(time.Duration(w.chance(3000)) * time.Millisecond)
				w.startFullRouter(r)
			case 2:
				w.crashFullRouter(r)
				w.crashFullRouter(q)
				time.Sleep(time.Duration(w.chance(3000)) * time.Millisecond)
				w.startFullRouter(r)
				if q != r {
					w.startFullRouter(q)
				}
			case 3, 4:
				s.stop()
				time.Sleep(time.Duration(w.chance(1000)) * time.Millisecond)
				s.start()
			case 5:
				w.w.Cut(r.addr, q.addr) // one direction only
			case 6:
				w.w.Split([]string{r.addr}, append([]string{q.addr, s.addr}, w.founders[:1+w.chance(4)]...))
			case 7:
				w.w.Heal()
			default:
				w.fault()
			}
			time.Sleep(time.Duration(w.chance(1500)) * time.Millisecond)
		}
		w.settle()
		wg.Wait()
		t.Logf("stream ends %v", counts)
		if counts["done"] < 20 {
			t.Errorf("only %d streams ended complete", counts["done"])
		}
	})
}

// streamScenario is one stream under scripted faults. Its client receives from the routers that the test names.
type streamScenario struct {
	*fullFleet
	result                     *streamResult
	owner, third               *fullRouter // third is neither owner nor replica; faults partition it from the owner at most
	replica                    *fullRouter
	otherAddrs, nonRunnerAddrs []string // addresses of the other routers; of these and the cores
}

// scenarioTokens is the number of chunks of a stream, unless its run is shorter.
const scenarioTokens = 200

// newStreamScenario starts a fleet that has earned retries, begins a stream of scenarioTokens chunks, one every 50 ms, and
// receives it for a first period.
func newStreamScenario(t *testing.T, seed uint64, first time.Duration, pause func(int) time.Duration) *streamScenario {
	var all []*simRunner
	for range 4 {
		m := newModelRunner(8, 50*time.Millisecond)
		m.pauseBefore = pause
		all = append(all, m)
	}
	p := &streamScenario{fullFleet: newFullFleet(t, seed, 8, repeatConfig(true), all...), result: &streamResult{n: 1}}
	p.earnRetries()
	p.owner = p.full[p.chance(8)]
	p.receiveFor(p.owner, first)
	var owner *fullRouter
	owner, p.replica = p.ownerAndReplica(p.result.id)
	if owner != p.owner || p.replica == nil {
		t.Fatalf("the owner is %v, the replica %v", owner, p.replica)
	}
	for _, r := range p.full {
		if r != p.owner {
			p.otherAddrs = append(p.otherAddrs, r.addr)
		}
		if r != p.owner && r != p.replica {
			p.third = r
		}
	}
	p.nonRunnerAddrs = append(append(p.nonRunnerAddrs, p.otherAddrs...), p.founders...)
	return p
}

// receiveFor requests the stream, or the rest of it, from a router and receives for a duration.
func (p *streamScenario) receiveFor(r *fullRouter, d time.Duration) {
	req := httptest.NewRequestWithContext(p.ctx, "POST", "/ask", strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":"a","stream":true,"max_tokens":%d}`, scenarioTokens)))
	if p.result.id != "" {
		req = httptest.NewRequestWithContext(p.ctx, "GET", fmt.Sprintf("/v1/streams/%s?after=%d", p.result.id, len(p.result.chunks)), nil)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer demo-rich")
	req.Header.Set("X-N", "1")
	code, id, raw := p.receive(r, req, d)
	if code != 200 {
		return
	}
	if p.result.id == "" {
		p.result.id = id
	}
	p.result.parse(raw)
}

// differFrom makes the runs of all runners differ from the n-th chunk on, counted from 1.
func (p *streamScenario) differFrom(n int) {
	for _, s := range p.runners {
		s.mu.Lock()
		s.differFrom = n
		s.mu.Unlock()
	}
}

// A replica that is partitioned from a live owner must not take over the stream while the owner continues it.
func TestNoTwoStreamOwners(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := newStreamScenario(t, seed, time.Second, nil)
		p.differFrom(60)
		p.w.Split([]string{p.owner.addr}, []string{p.replica.addr, p.third.addr})
		p.receiveFor(p.owner, 7*time.Second)
		if len(p.result.chunks) < 100 {
			t.Errorf("the stream stopped at %d chunks, although its owner reaches the core", len(p.result.chunks))
		}
		p.receiveFor(p.third, 20*time.Second)
		if bad := p.result.verify(); bad != "" {
			t.Errorf("the stream %s", bad)
		}
	})
}

// An owner whose stream is idle while the replica takes it over must notice the takeover before it delivers another chunk.
// The client receives the rest from the second run.
func TestOldOwnerStopsAfterTakeover(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var once sync.Once
		p := newStreamScenario(t, seed, time.Second, func(i int) (d time.Duration) {
			if i == 30 {
				once.Do(func() { d = 9 * time.Second })
			}
			return d
		})
		p.differFrom(31)
		p.receiveFor(p.owner, 1200*time.Millisecond) // the 31st chunk follows 9 s later, however slow the start was
		if len(p.result.chunks) != 30 {
			t.Fatalf("%d chunks before the pause, want 30", len(p.result.chunks))
		}
		p.w.Split([]string{p.owner.addr}, []string{p.replica.addr, p.third.addr})
		done := make(chan bool)
		go func() { p.receiveFor(p.owner, 11*time.Second); done <- true }()
		time.Sleep(7 * time.Second)
		p.w.Heal()
		p.w.Split([]string{p.owner.addr}, []string{p.third.addr})
		<-done
		p.receiveFor(p.third, 20*time.Second)
		if bad := p.result.verify(); bad != "" || p.result.end != "done" {
			t.Errorf("the stream ended %q with %d chunks: %s", p.result.end, len(p.result.chunks), bad)
		}
	})
}

// A second run that ends before it has repeated all delivered chunks differs from the first run: its end is not the end of
// the stream.
func TestShorterRun(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := newStreamScenario(t, seed, time.Second, nil)
		received := len(p.result.chunks) // fewer if the start was slow; the second run has 1 to 10 chunks less
		if received <= 10 {
			t.Fatalf("only %d chunks received before the second run", received)
		}
		for _, s := range p.runners {
			s.mu.Lock()
			s.shortBy, s.omitLast = scenarioTokens-received+1+p.chance(10), true
			s.mu.Unlock()
		}
		for _, s := range p.arrivals() {
			if s.n == 1 {
				p.crashRunnerAt(s.addr)
			}
		}
		p.receiveFor(p.third, 20*time.Second)
		if p.result.end != "run-differs" {
			t.Errorf("the stream ended %q with %d chunks, want run-differs", p.result.end, len(p.result.chunks))
		}
	})
}

// No client receives a chunk that the replica does not hold, not even a client that resumes the stream at its owner.
func TestDeliveredChunksAreReplicated(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := newStreamScenario(t, seed, time.Second, nil)
		p.w.Split([]string{p.owner.addr}, p.nonRunnerAddrs)
		n := 0
		for _, h := range p.replica.current().Streams.List() {
			if h.RequestID == p.result.id {
				n = h.Chunks
			}
		}
		p.differFrom(n + 1)
		p.receiveFor(p.owner, 350*time.Millisecond)
		if len(p.result.chunks) > n {
			t.Errorf("the client received %d chunks, the replica holds %d", len(p.result.chunks), n)
		}
		time.Sleep(5 * time.Second) // until the replica detects the loss of the owner
		p.receiveFor(p.third, 20*time.Second)
		if bad := p.result.verify(); bad != "" || p.result.end != "done" {
			t.Errorf("the stream ended %q with %d chunks: %s", p.result.end, len(p.result.chunks), bad)
		}
	})
}

// An isolated zone keeps serving streams, also of traffic classes that permit reruns. Streams that begin while the zone is
// isolated end complete on both sides. Streams that are running when it becomes isolated must not join two runs or end
// before their last chunk.
func TestStreamsInIsolatedZone(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 8 {
			m := newModelRunner(16, 20*time.Millisecond)
			m.differFrom = int(seed%2) * (1 + int(seed*13%60))
			all = append(all, m)
		}
		w := newFullFleet(t, seed, 8, repeatConfig(true), all...)
		w.earnRetries()
		n := uint64(0)
		var wg sync.WaitGroup
		var mu sync.Mutex
		slowest := map[string]time.Duration{}
		startStreams := func(wantComplete bool) {
			for i, r := range w.full {
				n++
				number := n
				wg.Go(func() {
					begun := time.Now()
					o := w.runStream(i, number, "/ask", 100, noHangup)
					if bad := o.verify(); bad != "" || o.end == "" {
						t.Errorf("a stream that began in zone %s ended %q: %s", r.zone, o.end, bad)
					}
					if wantComplete && (o.end != "done" || o.requests != 1) {
						t.Errorf("a stream that began in zone %s ended %q with %d chunks after %d requests", r.zone, o.end, len(o.chunks), o.requests)
					}
					mu.Lock()
					defer mu.Unlock()
					if side := fmt.Sprint("inside ", r.zone == "east"); wantComplete {
						slowest[side] = max(slowest[side], time.Since(begun))
					}
				})
			}
		}
		startStreams(false)
		time.Sleep(time.Duration(w.chance(2000)) * time.Millisecond)
		w.w.Split(w.zoneAddrs("east"))
		time.Sleep(7 * time.Second) // until unreachable runners are detected
		startStreams(true)
		time.Sleep(time.Duration(w.chance(9000)) * time.Millisecond)
		w.w.Heal()
		wg.Wait()
		t.Logf("slowest of the streams, which take 2 s without a fault: %v", slowest)
	})
}
