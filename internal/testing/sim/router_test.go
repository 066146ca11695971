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

// whole is a simulated fleet whose routers are whole, with runners and origins.
type whole struct {
	*fleet
	full    []*fullRouter
	runners []*simRunner
	diary   struct {
		mu  sync.Mutex
		all []seen
	}
}

type seen struct {
	n      uint64
	id     string
	tenant string
	runner string
	at     time.Time
	addr   string // of the runner
}

type fullRouter struct {
	name, zone, addr, face string
	born                   uint64     // of the next run; 0: by the clock
	mu                     sync.Mutex // guards what follows
	r                      *router.Router
	crash                  func()
	up                     bool
}

// now is the router's present run, or nil while it is down.
func (r *fullRouter) now() *router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return nil
	}
	return r.r
}

// simRunner serves in simulated time: a token each step, slower as the batch fills.
type simRunner struct {
	w      *whole
	name   string
	addr   string
	zone   string
	labels map[string]string
	room   int
	most   int // longest output it serves
	step   time.Duration
	slow   float64
	cold   time.Duration // reading a block of prompt that is not in the cache
	plain  bool
	differ int                           // from this piece on, counted from 1, pieces carry the run's mark; 0: all runs are alike
	pause  func(piece int) time.Duration // before a stream's piece, counted from 0
	odd    int                           // so many pieces fewer than were asked for
	bare   bool                          // its last piece is not marked as such
	raw    string                        // sent as it is, and the connection closed, in place of an answer

	mu     sync.Mutex
	born   int
	turn   int
	long   int // queries that asked for more than it serves
	state  string
	said   time.Time // when its word that it leaves was first taken
	active int
	peak   int // the most that were active at once
	over   int // queries that came while the room was full
	queued int
	hang   bool
	mute   bool
	cache  map[[32]byte]bool
	hits   int
	blocks int
	crash  func()
	ear    net.Listener
	up     bool
}

// newWhole founds a fleet of five cores, n routers and the runners given, and puts a configuration.
func newWhole(t *testing.T, seed uint64, n int, lay string, runners ...*simRunner) *whole {
	w := &whole{fleet: newFleet(t, seed, 0)}
	for i := range n {
		r := &fullRouter{name: fmt.Sprintf("r%02d", i), zone: w.zones[i%4], addr: fmt.Sprintf("10.0.1.%d:1", i+1), face: fmt.Sprintf("10.0.1.%d:2", i+1)}
		w.full = append(w.full, r)
		w.extraAddrs = append(w.extraAddrs, r.addr)
		w.startFull(r)
	}
	for i, s := range runners {
		s.w, s.addr = w, fmt.Sprintf("10.0.3.%d:1", i+1)
		if s.zone == "" {
			s.zone = w.zones[i%min(4, n)]
		}
		w.runners = append(w.runners, s)
		s.start()
	}
	t.Cleanup(w.shut)
	w.within(5*time.Second, "founding", func() bool { return w.primary() != nil })
	w.within(5*time.Second, "the roll is known", func() bool {
		for _, r := range w.full {
			if len(r.r.Cluster.Nodes()) < n {
				return false
			}
		}
		return true
	})
	w.put(lay)
	return w
}

// shut ends all routers and runners.
func (w *whole) shut() {
	for _, r := range w.full {
		w.crashFull(r)
	}
	for _, s := range w.runners {
		s.stop()
	}
}

// put puts a configuration and waits until every router that is up obeys it.
func (w *whole) put(lay string) uint64 {
	w.t.Helper()
	o := w.operator()
	p := o.putRaw([]byte(lay), "")
	if p.code != 200 {
		w.t.Fatalf("configuration answered %d", p.code)
	}
	w.within(2*time.Second, "routers obey, and know the runners", func() bool {
		for _, r := range w.full {
			if r.now() == nil {
				continue
			}
			l := r.r.Cluster.Config()
			if l == nil || l.Version < p.version || r.r.Cluster.NotReadyReason() != "" || len(r.r.Runners.List()) < len(w.runners) {
				return false
			}
		}
		return true
	})
	return p.version
}

func (w *whole) startFull(r *fullRouter) {
	n, crash := w.w.Net(r.addr)
	ctx, end := context.WithCancel(w.ctx)
	born := uint64(time.Now().UnixNano())
	if r.born > 0 {
		born = r.born
	}
	ec := daemon.Context{Context: ctx, Name: r.name, Zone: r.zone, RunID: born, Log: w.log.With("at", r.name), Net: n}
	run := router.New(ec, r.addr, r.face, []string{w.founders[0], w.founders[1], "10.0.1.1:1"}, func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.Dial(ctx, addr)
	})
	l, err := n.Listen(r.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	heartbeats := http.HandlerFunc((&runner.API{Cluster: run.Cluster, KeyHash: func() string { return "" }}).Heartbeat)
	lb, err := n.Listen(r.face)
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: heartbeats, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(lb) }()
	r.mu.Lock()
	r.r, r.up = run, true
	r.crash = func() { end(); crash(); _ = srv.Close() }
	r.mu.Unlock()
	go wire.Serve(ctx, l, run.Cluster.Serve)
	run.Start()
}

func (w *whole) crashFull(r *fullRouter) {
	r.mu.Lock()
	up := r.up
	r.up = false
	r.mu.Unlock()
	if up {
		r.crash()
	}
}

func (s *simRunner) start() {
	n, crash := s.w.w.Net(s.addr)
	l, err := n.Listen(s.addr)
	if err != nil {
		s.w.t.Fatal(err)
	}
	ctx, end := context.WithCancel(s.w.ctx)
	s.mu.Lock()
	s.ear = l
	s.born++
	s.state, s.said, s.up, s.active, s.queued = "ready", time.Time{}, true, 0, 0
	s.cache = map[[32]byte]bool{}
	s.mu.Unlock()
	srv := &http.Server{Handler: s, BaseContext: func(net.Listener) context.Context { return ctx }, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(l) }()
	s.crash = func() { end(); crash(); _ = srv.Close() }
	cli := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }}}
	go func() {
		defer cli.CloseIdleConnections()
		for at := 0; ctx.Err() == nil; {
			s.mu.Lock()
			mute := s.mute
			s.mu.Unlock()
			if !mute && !s.heartbeat(ctx, cli, at) {
				at++
				runloop.Sleep(ctx, 50*time.Millisecond)
				continue
			}
			runloop.Sleep(ctx, time.Second)
		}
	}()
}

// deaf closes the listener; heartbeats go on from the same address.
func (s *simRunner) deaf() { _ = s.ear.Close() }

// hear listens again, as the same run.
func (s *simRunner) hear() {
	n, crash := s.w.w.Net(s.addr)
	l, err := n.Listen(s.addr)
	if err != nil {
		s.w.t.Fatal(err)
	}
	s.mu.Lock()
	s.ear = l
	old := s.crash
	s.crash = func() { old(); crash() }
	s.mu.Unlock()
	srv := &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = srv.Serve(l) }()
}

func (s *simRunner) stop() {
	s.mu.Lock()
	up := s.up
	s.up = false
	s.mu.Unlock()
	if up {
		s.crash()
	}
}

// heartbeat tells a router of the own zone, or in need another, how this runner stands.
func (s *simRunner) heartbeat(ctx context.Context, cli *http.Client, at int) bool {
	var to []string
	for _, r := range s.w.full {
		if r.zone == s.zone {
			to = append([]string{r.face}, to...)
		} else {
			to = append(to, r.face)
		}
	}
	s.mu.Lock()
	s.turn++
	state := s.state
	raw, _ := json.Marshal(map[string]any{"name": s.name, "addr": s.addr, "born": strconv.Itoa(s.born), "turn": s.turn, "labels": s.labels,
		"state": s.state, "room": s.room, "max_length": max(s.most, 1), "queued_tokens": s.queued})
	s.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+to[at%len(to)]+"/v1/runners/beat", bytes.NewReader(raw))
	ans, err := cli.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, ans.Body)
	_ = ans.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "leaving" && ans.StatusCode == 200 && s.said.IsZero() {
		s.said = time.Now()
	}
	return ans.StatusCode == 200
}

func (s *simRunner) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	n, _ := strconv.ParseUint(r.Header.Get("X-N"), 10, 64)
	s.w.diary.mu.Lock()
	s.w.diary.all = append(s.w.diary.all, seen{n, r.Header.Get(runner.RequestHeader), r.Header.Get(runner.TenantHeader), s.name, time.Now(), s.addr})
	s.w.diary.mu.Unlock()
	if err != nil {
		return
	}
	tokens := int(gjson.GetBytes(body, "max_tokens").Int())
	s.mu.Lock()
	if !s.said.IsZero() && time.Since(s.said) > 2*time.Second {
		s.w.t.Errorf("%s got a query %s after its word that it leaves", s.addr, time.Since(s.said))
	}
	hang := s.hang
	if tokens > max(s.most, 1) {
		s.long++
	}
	s.active++
	s.peak = max(s.peak, s.active)
	if s.active > s.room {
		s.over++
	}
	s.queued += tokens
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
		s.queued -= left
		s.mu.Unlock()
	}()
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	runloop.Sleep(r.Context(), time.Duration(miss)*s.cold)
	if s.raw != "" {
		con, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			s.w.t.Error(err)
			return
		}
		_, _ = io.WriteString(con, strings.ReplaceAll(s.raw, "#", strconv.FormatUint(n, 10)))
		_ = con.Close()
		return
	}
	stream := gjson.GetBytes(body, "stream").Bool()
	if stream {
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	s.mu.Lock()
	steps := max(tokens-s.odd, 1)
	s.mu.Unlock()
	for i := range steps {
		s.mu.Lock()
		d := s.step + time.Duration(s.slow*float64(s.active-1)*float64(s.step))
		s.mu.Unlock()
		if !runloop.Sleep(r.Context(), d) {
			panic(http.ErrAbortHandler)
		}
		if tokens > 0 {
			s.mu.Lock()
			s.queued--
			s.mu.Unlock()
			left--
		}
		if stream {
			mark := ""
			if s.pause != nil {
				runloop.Sleep(r.Context(), s.pause(i))
			}
			s.mu.Lock()
			differ := s.differ
			s.mu.Unlock()
			if differ > 0 && i+1 >= differ {
				mark = fmt.Sprintf(`,"run":%q`, r.Header.Get(runner.RequestHeader))
			}
			if i == steps-1 && !s.bare {
				mark += `,"last":true`
			}
			// A router that has gone shows in the request's context.
			_, _ = fmt.Fprintf(rw, "data: {\"i\":%d,\"n\":%d%s}\n\n", i, n, mark)
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

// ask is one query of an origin.
type ask struct {
	n      uint64
	tenant string
	path   string
	method string
	key    string
	body   map[string]any
	raw    []byte
	head   map[string]string
}

// got is its answer.
type got struct {
	ask
	status int
	code   string
	run    string
	retry  string
	id     string
	body   []byte
	begun  time.Time
	took   time.Duration
	torn   bool // the connection was broken off
}

// send puts a query to a router's face, as its origin would.
func (w *whole) send(ctx context.Context, r *fullRouter, a ask) (g got) {
	g = got{ask: a, begun: time.Now()}
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
	for k, v := range a.head {
		req.Header.Set(k, v)
	}
	rec := httptest.NewRecorder()
	run := r.now()
	if run == nil {
		return g // nobody listens
	}
	func() {
		defer func() {
			switch e := recover(); e {
			case nil:
			case http.ErrAbortHandler:
				g.torn = true
			default:
				panic(e)
			}
		}()
		run.Clients.ServeHTTP(rec, req)
	}()
	g.took = time.Since(g.begun)
	g.status, g.body, g.retry, g.id = rec.Code, rec.Body.Bytes(), rec.Header().Get("Retry-After"), rec.Header().Get(runner.RequestHeader)
	if g.torn && len(g.body) == 0 {
		g.status = 0
	}
	g.code, g.run = gjson.GetBytes(g.body, "error.code").Str, gjson.GetBytes(g.body, "error.run").Str
	return g
}

// seen copies what runners saw so far.
func (w *whole) seen() []seen {
	w.diary.mu.Lock()
	defer w.diary.mu.Unlock()
	return append([]seen{}, w.diary.all...)
}

// saw counts how often runners saw a query of an origin.
func (w *whole) saw(n uint64) int {
	w.diary.mu.Lock()
	defer w.diary.mu.Unlock()
	k := 0
	for _, s := range w.diary.all {
		if s.n == n {
			k++
		}
	}
	return k
}

func prompt(tokens int) map[string]any {
	return map[string]any{"model": "m", "prompt": "hello", "max_tokens": tokens}
}

func key(tenant string) string { return fleetconfig.HashKey("demo-" + tenant) }

// plainLay is a configuration with one pool of model runners and one of an ordinary application.
func plainLay(more string) string {
	return `{"services":{"model":{},"app":{}},
	"pools":{"m":{"select":"app=model","service":"model"},"a":{"select":"app=orders","service":"app"}},
	"lanes":{"ask":{"rank":3,"patience_ms":20000,"tenants":["*"]},"hot":{"rank":1,"patience_ms":20000,"tenants":["*"]},
	 "notes":{"rank":2,"tenants":["*"],"once":true},"orders":{"rank":1,"patience_ms":5000,"tenants":["*"],"once":true,"plain":true}},
	"mappings":[{"path":"/ask","lane":"ask","pool":"m"},{"path":"/hot","lane":"hot","pool":"m"},{"path":"/notes","lane":"notes","pool":"m"},{"path":"/orders","lane":"orders","pool":"a"}],
	"tenants":{"rich":{"funded":true,"keys":["` + key("rich") + `"]},"poor":{"keys":["` + key("poor") + `"]}` + more + `}}`
}

func model(room int, step time.Duration) *simRunner {
	return &simRunner{name: "m", most: 16384, labels: map[string]string{"app": "model", "model": "m"}, room: room, step: step}
}

func orders() *simRunner {
	return &simRunner{name: "o", labels: map[string]string{"app": "orders"}, room: 100, step: 5 * time.Millisecond, plain: true}
}

// Every stream counts once in every router's account of a runner, its own router's included.
func TestStreamsCountOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 3, plainLay(""), model(64, 100*time.Millisecond))
		for i := range 6 {
			go w.send(w.ctx, w.full[i%3], ask{n: uint64(i + 1), tenant: "rich", path: "/ask", body: prompt(100)})
		}
		time.Sleep(3 * time.Second)
		for _, r := range w.full {
			e := r.r.Runners.List()[0]
			if n, _ := e.Load(); n != 6 {
				t.Errorf("%s counts %d streams on the runner, there are 6", r.name, n)
			}
			// Whole answers settle at their end, so all that was asked is still ahead.
			if q, _ := e.QueuedTokens(); q != 600 {
				t.Errorf("%s counts %g tokens ahead, there are 600", r.name, q)
			}
		}
	})
}

// A router that starts again after its machine's clock was set back is heard as before: its streams
// count at the others, its lease and its quota go on.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 3, plainLay(`,"metered":{"funded":true,"keys":["`+key("metered")+`"],"quota":{"units":30,"window_s":5}}`), model(64, 100*time.Millisecond))
		r := w.full[1]
		w.crashFull(r)
		r.born = 7 // the clock says 1970
		w.startFull(r)
		w.within(5*time.Second, "it is ready", func() bool { return r.r.Cluster.NotReadyReason() == "" && len(r.r.Runners.List()) == 1 })
		time.Sleep(7 * time.Second)
		for i := range 4 {
			go w.send(w.ctx, r, ask{n: uint64(i + 1), tenant: "metered", path: "/ask", body: prompt(100)})
		}
		time.Sleep(3 * time.Second)
		for _, o := range w.full {
			if n, _ := o.r.Runners.List()[0].Load(); n != 4 {
				t.Errorf("%s counts %d streams on the runner, there are 4", o.name, n)
			}
		}
	})
}

// Two routers with one name: the one that holds the lease keeps it, the other never becomes ready,
// and the roll does not flap.
func TestNameTaken(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 3, plainLay(""), model(8, 10*time.Millisecond))
		twin := &fullRouter{name: w.full[1].name, zone: "north", addr: "10.0.8.1:1", face: "10.0.8.1:2"}
		w.startFull(twin)
		defer w.crashFull(twin)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if twin.r.Cluster.NotReadyReason() == "" {
				t.Fatal("a second router of the same name is ready")
			}
			if n := w.full[0].r.Cluster.Nodes(); len(n) != 3 || n[1].Addr != w.full[1].addr {
				t.Fatalf("the roll is %v", n)
			}
		}
		w.crashFull(w.full[1])
		w.within(6*time.Second, "the name is free", func() bool { return twin.r.Cluster.NotReadyReason() == "" })
	})
}

// post hands a body to a handler and tells the status.
func post(h http.HandlerFunc, raw string) int {
	rec := httptest.NewRecorder()
	h(rec, httptest.NewRequest("POST", "/", bytes.NewReader([]byte(raw))))
	return rec.Code
}
