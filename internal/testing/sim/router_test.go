package sim_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/router"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/wire"
)

// fullFleet is a simulated fleet with complete routers, runners and clients.
type fullFleet struct {
	*fleet
	full       []*fullRouter
	runners    []*simRunner
	arrivalLog struct {
		mu  sync.Mutex
		all []arrival
	}
}

// arrival is a query that arrived at a runner.
type arrival struct {
	n      uint64
	id     string
	tenant string
	runner string
	at     time.Time
	addr   string // of the runner
}

// fullRouter is a simulated machine that runs a complete router.
type fullRouter struct {
	name, zone, addr, httpAddr string
	runID                      uint64     // of the next run; 0: taken from the clock
	mu                         sync.Mutex // guards the fields below
	router                     *router.Router
	crash                      func()
	up                         bool
}

// current returns the router's current run, or nil while it is down.
func (r *fullRouter) current() *router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return nil
	}
	return r.router
}

// simRunner is a simulated runner. It produces one token per step; steps take longer the more queries are active.
type simRunner struct {
	w             *fullFleet
	name          string
	addr          string
	zone          string
	labels        map[string]string
	capacity      int
	maxLength     int           // longest output that it serves, in tokens
	step          time.Duration // time per token with one active query
	batchSlowdown float64       // fraction of a step by which each further active query lengthens a step
	prefillTime   time.Duration // time to process a prompt block that is not in the cache
	plain         bool
	differFrom    int                           // from this chunk on, counted from 1, chunks contain the run's ID; 0: all runs are identical
	pauseBefore   func(chunk int) time.Duration // pause before a chunk of a stream, counted from 0
	shortBy       int                           // number of tokens by which answers are shorter than requested
	omitLast      bool                          // the last chunk is not marked as the last
	rawAnswer     string                        // sent verbatim in place of an answer, before the connection is closed; # stands for the query number

	mu           sync.Mutex
	run          int // counts the starts; identifies the run
	sequence     int // of the last heartbeat
	tooLong      int // queries that requested more than maxLength
	state        string
	leavingAcked time.Time // when a router first accepted its report that it is leaving
	active       int
	peak         int // largest number of queries active at once
	overCapacity int // queries that arrived while the runner was at capacity
	queuedTokens int
	hang         bool              // it accepts queries but never answers
	muted        bool              // it sends no heartbeats
	cache        map[[32]byte]bool // by the hash of the prompt up to and including a block
	hits         int               // prompt blocks that were in the cache
	blocks       int               // prompt blocks of all queries
	crash        func()
	listener     net.Listener
	up           bool
}

// newFullFleet starts a fleet of five cores, n routers and the given runners, and applies a configuration.
func newFullFleet(t *testing.T, seed uint64, n int, config string, runners ...*simRunner) *fullFleet {
	w := &fullFleet{fleet: newFleet(t, seed, 0)}
	for i := range n {
		r := &fullRouter{name: fmt.Sprintf("r%02d", i), zone: w.zones[i%4], addr: fmt.Sprintf("10.0.1.%d:1", i+1), httpAddr: fmt.Sprintf("10.0.1.%d:2", i+1)}
		w.full = append(w.full, r)
		w.extraAddrs = append(w.extraAddrs, r.addr)
		w.startFullRouter(r)
	}
	for i, s := range runners {
		s.w, s.addr = w, fmt.Sprintf("10.0.3.%d:1", i+1)
		if s.zone == "" {
			s.zone = w.zones[i%min(4, n)]
		}
		w.runners = append(w.runners, s)
		s.start()
	}
	t.Cleanup(w.stopRoutersAndRunners)
	w.within(5*time.Second, "a primary is ready", func() bool { return w.primary() != nil })
	w.within(5*time.Second, "all routers know each other", func() bool {
		for _, r := range w.full {
			if len(r.router.Cluster.Nodes()) < n {
				return false
			}
		}
		return true
	})
	w.applyConfig(config)
	return w
}

// stopRoutersAndRunners crashes all routers and runners that are up.
func (w *fullFleet) stopRoutersAndRunners() {
	for _, r := range w.full {
		w.crashFullRouter(r)
	}
	for _, s := range w.runners {
		s.stop()
	}
}

// applyConfig writes a configuration, waits until every router that is up applies it and knows all runners, and returns its
// version.
func (w *fullFleet) applyConfig(config string) uint64 {
	w.t.Helper()
	o := w.operator()
	p := o.putRaw([]byte(config), "")
	if p.code != 200 {
		w.t.Fatalf("the configuration got status %d", p.code)
	}
	w.within(2*time.Second, "all routers apply the configuration and know the runners", func() bool {
		for _, r := range w.full {
			if r.current() == nil {
				continue
			}
			config := r.router.Cluster.Config()
			if config == nil || config.Version < p.version || r.router.Cluster.NotReadyReason() != "" || len(r.router.Runners.List()) < len(w.runners) {
				return false
			}
		}
		return true
	})
	return p.version
}

// startFullRouter starts a new run of a router.
func (w *fullFleet) startFullRouter(r *fullRouter) {
	n, crash := w.w.Net(r.addr)
	ctx, end := context.WithCancel(w.ctx)
	runID := uint64(time.Now().UnixNano())
	if r.runID > 0 {
		runID = r.runID
	}
	ec := daemon.Context{Context: ctx, Name: r.name, Zone: r.zone, RunID: runID, Log: w.log.With("at", r.name), Net: n}
	run := router.New(ec, r.addr, r.httpAddr, []string{w.founders[0], w.founders[1], "10.0.1.1:1"}, func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.Dial(ctx, addr)
	})
	l, err := n.Listen(r.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	heartbeats := http.HandlerFunc((&runner.API{Cluster: run.Cluster, KeyHash: func() string { return "" }}).Heartbeat)
	lb, err := n.Listen(r.httpAddr)
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: heartbeats, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(lb) }()
	r.mu.Lock()
	r.router, r.up = run, true
	r.crash = func() { end(); crash(); _ = srv.Close() }
	r.mu.Unlock()
	go wire.Serve(ctx, l, run.Cluster.Serve)
	run.Start()
}

// crashFullRouter crashes a router if it is up.
func (w *fullFleet) crashFullRouter(r *fullRouter) {
	r.mu.Lock()
	up := r.up
	r.up = false
	r.mu.Unlock()
	if up {
		r.crash()
	}
}

// start starts a new run of the runner, with an empty cache.
func (s *simRunner) start() {
	n, crash := s.w.w.Net(s.addr)
	l, err := n.Listen(s.addr)
	if err != nil {
		s.w.t.Fatal(err)
	}
	ctx, end := context.WithCancel(s.w.ctx)
	s.mu.Lock()
	s.listener = l
	s.run++
	s.state, s.leavingAcked, s.up, s.active, s.queuedTokens = "ready", time.Time{}, true, 0, 0
	s.cache = map[[32]byte]bool{}
	s.mu.Unlock()
	srv := &http.Server{Handler: s, BaseContext: func(net.Listener) context.Context { return ctx }, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(l) }()
	s.crash = func() { end(); crash(); _ = srv.Close() }
	cli := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }}}
	go func() {
		defer cli.CloseIdleConnections()
		for attempt := 0; ctx.Err() == nil; {
			s.mu.Lock()
			muted := s.muted
			s.mu.Unlock()
			if !muted && !s.heartbeat(ctx, cli, attempt) {
				attempt++
				runloop.Sleep(ctx, 50*time.Millisecond)
				continue
			}
			runloop.Sleep(ctx, time.Second)
		}
	}()
}

// closeListener closes the listener; heartbeats continue from the same address.
func (s *simRunner) closeListener() { _ = s.listener.Close() }

// reopenListener listens again within the same run.
func (s *simRunner) reopenListener() {
	n, crash := s.w.w.Net(s.addr)
	l, err := n.Listen(s.addr)
	if err != nil {
		s.w.t.Fatal(err)
	}
	s.mu.Lock()
	s.listener = l
	old := s.crash
	s.crash = func() { old(); crash() }
	s.mu.Unlock()
	srv := &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(l) }()
}

// stop crashes the runner if it is up.
func (s *simRunner) stop() {
	s.mu.Lock()
	up := s.up
	s.up = false
	s.mu.Unlock()
	if up {
		s.crash()
	}
}

// heartbeat sends the state of the runner to a router, and reports whether it was accepted. Attempt 0 goes to a router of
// the runner's zone if there is one, later attempts go to the other routers in turn.
func (s *simRunner) heartbeat(ctx context.Context, cli *http.Client, attempt int) bool {
	var to []string
	for _, r := range s.w.full {
		if r.zone == s.zone {
			to = append([]string{r.httpAddr}, to...)
		} else {
			to = append(to, r.httpAddr)
		}
	}
	s.mu.Lock()
	s.sequence++
	state := s.state
	raw, _ := json.Marshal(map[string]any{"name": s.name, "addr": s.addr, "born": strconv.Itoa(s.run), "turn": s.sequence, "labels": s.labels,
		"state": s.state, "room": s.capacity, "max_length": max(s.maxLength, 1), "queued_tokens": s.queuedTokens})
	s.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+to[attempt%len(to)]+"/v1/runners/beat", bytes.NewReader(raw))
	ans, err := cli.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, ans.Body)
	_ = ans.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "leaving" && ans.StatusCode == 200 && s.leavingAcked.IsZero() {
		s.leavingAcked = time.Now()
	}
	return ans.StatusCode == 200
}

// ServeHTTP records the query and answers it as the settings of the runner say.
func (s *simRunner) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	n, _ := strconv.ParseUint(r.Header.Get("X-N"), 10, 64)
	s.w.arrivalLog.mu.Lock()
	s.w.arrivalLog.all = append(s.w.arrivalLog.all, arrival{n, r.Header.Get(runner.RequestHeader), r.Header.Get(runner.TenantHeader), s.name, time.Now(), s.addr})
	s.w.arrivalLog.mu.Unlock()
	if err != nil {
		return
	}
	tokens := int(gjson.GetBytes(body, "max_tokens").Int())
	s.mu.Lock()
	if !s.leavingAcked.IsZero() && time.Since(s.leavingAcked) > 2*time.Second {
		s.w.t.Errorf("%s got a query %s after its report that it is leaving", s.addr, time.Since(s.leavingAcked))
	}
	hang := s.hang
	if tokens > max(s.maxLength, 1) {
		s.tooLong++
	}
	s.active++
	s.peak = max(s.peak, s.active)
	if s.active > s.capacity {
		s.overCapacity++
	}
	s.queuedTokens += tokens
	miss := 0
	text := gjson.GetBytes(body, "prompt").Str
	h := sha256.New()
	for from := 0; from+256 <= len(text); from += 256 {
		h.Write([]byte(text[from : from+256]))
		var key [32]byte
		copy(key[:], h.Sum(nil))
		s.blocks++
		if s.cache[key] {
			s.hits++
		} else {
			miss++
			s.cache[key] = true
		}
	}
	s.mu.Unlock()
	left := tokens
	defer func() {
		s.mu.Lock()
		s.active--
		s.queuedTokens -= left
		s.mu.Unlock()
	}()
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	runloop.Sleep(r.Context(), time.Duration(miss)*s.prefillTime)
	if s.rawAnswer != "" {
		con, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			s.w.t.Error(err)
			return
		}
		_, _ = io.WriteString(con, strings.ReplaceAll(s.rawAnswer, "#", strconv.FormatUint(n, 10)))
		_ = con.Close()
		return
	}
	stream := gjson.GetBytes(body, "stream").Bool()
	if stream {
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	s.mu.Lock()
	steps := max(tokens-s.shortBy, 1)
	s.mu.Unlock()
	for i := range steps {
		s.mu.Lock()
		d := s.step + time.Duration(s.batchSlowdown*float64(s.active-1)*float64(s.step))
		s.mu.Unlock()
		if !runloop.Sleep(r.Context(), d) {
			panic(http.ErrAbortHandler)
		}
		if tokens > 0 {
			s.mu.Lock()
			s.queuedTokens--
			s.mu.Unlock()
			left--
		}
		if stream {
			fields := ""
			if s.pauseBefore != nil {
				runloop.Sleep(r.Context(), s.pauseBefore(i))
			}
			s.mu.Lock()
			differ := s.differFrom
			s.mu.Unlock()
			if differ > 0 && i+1 >= differ {
				fields = fmt.Sprintf(`,"run":%q`, r.Header.Get(runner.RequestHeader))
			}
			if i == steps-1 && !s.omitLast {
				fields += `,"last":true`
			}
			// A write error is ignored: if the router has gone, the request's context ends.
			_, _ = fmt.Fprintf(rw, "data: {\"i\":%d,\"n\":%d%s}\n\n", i, n, fields)
			_ = http.NewResponseController(rw).Flush()
		}
	}
	if stream {
		_, _ = io.WriteString(rw, "data: [DONE]\n\n")
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(rw, `{"n":%d,"usage":{"completion_tokens":%d}}`, n, tokens)
}

// query is one query of a client.
type query struct {
	n       uint64
	tenant  string
	path    string
	method  string
	key     string
	body    map[string]any
	raw     []byte
	headers map[string]string
}

// result is the answer to a query, as the client received it.
type result struct {
	query
	status     int
	code       string
	run        string
	retryAfter string
	id         string
	body       []byte
	begun      time.Time
	took       time.Duration
	aborted    bool // the router aborted the connection
}

// send sends a query to a router as its client would, and returns the result.
func (w *fullFleet) send(ctx context.Context, r *fullRouter, a query) (g result) {
	g = result{query: a, begun: time.Now()}
	raw := a.raw
	if raw == nil && a.body != nil {
		raw, _ = json.Marshal(a.body)
	}
	if a.method == "" {
		a.method = "POST"
	}
	req := httptest.NewRequestWithContext(ctx, a.method, a.path, bytes.NewReader(raw))
	if a.method == "GET" {
		req.Body = http.NoBody
	}
	req.Header.Set("Authorization", "Bearer demo-"+a.tenant)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-N", strconv.FormatUint(a.n, 10))
	if a.key != "" {
		req.Header.Set("Idempotency-Key", a.key)
	}
	for k, v := range a.headers {
		req.Header.Set(k, v)
	}
	rec := httptest.NewRecorder()
	run := r.current()
	if run == nil {
		return g // the router is down
	}
	func() {
		defer func() {
			switch e := recover(); e {
			case nil:
			case http.ErrAbortHandler:
				g.aborted = true
			default:
				panic(e)
			}
		}()
		run.Clients.ServeHTTP(rec, req)
	}()
	g.took = time.Since(g.begun)
	g.status, g.body, g.retryAfter, g.id = rec.Code, rec.Body.Bytes(), rec.Header().Get("Retry-After"), rec.Header().Get(runner.RequestHeader)
	if g.aborted && len(g.body) == 0 {
		g.status = 0
	}
	g.code, g.run = gjson.GetBytes(g.body, "error.code").Str, gjson.GetBytes(g.body, "error.run").Str
	return g
}

// arrivals returns a copy of all arrivals at runners so far.
func (w *fullFleet) arrivals() []arrival {
	w.arrivalLog.mu.Lock()
	defer w.arrivalLog.mu.Unlock()
	return append([]arrival{}, w.arrivalLog.all...)
}

// arrivalCount returns how often a query arrived at runners.
func (w *fullFleet) arrivalCount(n uint64) int {
	w.arrivalLog.mu.Lock()
	defer w.arrivalLog.mu.Unlock()
	count := 0
	for _, s := range w.arrivalLog.all {
		if s.n == n {
			count++
		}
	}
	return count
}

// prompt returns the body of a query that requests a number of tokens.
func prompt(tokens int) map[string]any {
	return map[string]any{"model": "m", "prompt": "hello", "max_tokens": tokens}
}

// keyHash returns the hash of a tenant's API key.
func keyHash(tenant string) string { return fleetconfig.HashKey("demo-" + tenant) }

// testConfig returns a configuration with one pool of model runners and one of an ordinary application. More tenants may be
// added as JSON fields, each with a leading comma.
func testConfig(moreTenants string) string {
	return `{"services":{"model":{},"app":{}},
	"pools":{"m":{"select":"app=model","service":"model"},"a":{"select":"app=orders","service":"app"}},
	"lanes":{"ask":{"rank":3,"patience_ms":20000,"tenants":["*"]},"hot":{"rank":1,"patience_ms":20000,"tenants":["*"]},
	 "notes":{"rank":2,"tenants":["*"],"once":true},"orders":{"rank":1,"patience_ms":5000,"tenants":["*"],"once":true,"plain":true}},
	"mappings":[{"path":"/ask","lane":"ask","pool":"m"},{"path":"/hot","lane":"hot","pool":"m"},{"path":"/notes","lane":"notes","pool":"m"},{"path":"/orders","lane":"orders","pool":"a"}],
	"tenants":{"rich":{"funded":true,"keys":["` + keyHash("rich") + `"]},"poor":{"keys":["` + keyHash("poor") + `"]}` + moreTenants + `}}`
}

func newModelRunner(capacity int, step time.Duration) *simRunner {
	return &simRunner{name: "m", maxLength: 16384, labels: map[string]string{"app": "model", "model": "m"}, capacity: capacity, step: step}
}

func newOrderRunner() *simRunner {
	return &simRunner{name: "o", labels: map[string]string{"app": "orders"}, capacity: 100, step: 5 * time.Millisecond, plain: true}
}

// Every router counts each query at a runner exactly once, including the router that sent it.
func TestStreamsCountOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 3, testConfig(""), newModelRunner(64, 100*time.Millisecond))
		for i := range 6 {
			go w.send(w.ctx, w.full[i%3], query{n: uint64(i + 1), tenant: "rich", path: "/ask", body: prompt(100)})
		}
		time.Sleep(3 * time.Second)
		for _, r := range w.full {
			e := r.router.Runners.List()[0]
			if n, _ := e.Load(); n != 6 {
				t.Errorf("%s counts %d streams at the runner, want 6", r.name, n)
			}
			// The tokens of a non-streamed answer are subtracted only at its end, so all requested tokens are still queued.
			if q, _ := e.QueuedTokens(); q != 600 {
				t.Errorf("%s counts %g queued tokens, want 600", r.name, q)
			}
		}
	})
}

// A router restarts after the clock of its machine was set back, so that its run ID is lower than before. The other routers
// must still accept its updates and count its streams, and it keeps its lease and quota.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 3, testConfig(`,"metered":{"funded":true,"keys":["`+keyHash("metered")+`"],"quota":{"units":30,"window_s":5}}`), newModelRunner(64, 100*time.Millisecond))
		r := w.full[1]
		w.crashFullRouter(r)
		r.runID = 7 // as if the clock were in 1970
		w.startFullRouter(r)
		w.within(5*time.Second, "the router is ready", func() bool { return r.router.Cluster.NotReadyReason() == "" && len(r.router.Runners.List()) == 1 })
		time.Sleep(7 * time.Second)
		for i := range 4 {
			go w.send(w.ctx, r, query{n: uint64(i + 1), tenant: "metered", path: "/ask", body: prompt(100)})
		}
		time.Sleep(3 * time.Second)
		for _, o := range w.full {
			if n, _ := o.router.Runners.List()[0].Load(); n != 4 {
				t.Errorf("%s counts %d streams at the runner, want 4", o.name, n)
			}
		}
	})
}

// Two routers have the same name: the lease holder keeps the lease, the other never becomes ready while it does, and the
// list of routers does not flap.
func TestNameTaken(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 3, testConfig(""), newModelRunner(8, 10*time.Millisecond))
		twin := &fullRouter{name: w.full[1].name, zone: "north", addr: "10.0.8.1:1", httpAddr: "10.0.8.1:2"}
		w.startFullRouter(twin)
		defer w.crashFullRouter(twin)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if twin.router.Cluster.NotReadyReason() == "" {
				t.Fatal("a second router with the same name is ready")
			}
			if n := w.full[0].router.Cluster.Nodes(); len(n) != 3 || n[1].Addr != w.full[1].addr {
				t.Fatalf("the list of routers is %v", n)
			}
		}
		w.crashFullRouter(w.full[1])
		w.within(6*time.Second, "the name is free", func() bool { return twin.router.Cluster.NotReadyReason() == "" })
	})
}

// post passes a body to a handler and returns the status.
func post(h http.HandlerFunc, raw string) int {
	rec := httptest.NewRecorder()
	h(rec, httptest.NewRequest("POST", "/", bytes.NewReader([]byte(raw))))
	return rec.Code
}
