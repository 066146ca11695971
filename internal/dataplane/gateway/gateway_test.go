package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/model/routing"
)

// testDialect is a Dialect that uses Test-* headers.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) (RequestMeta, error) {
	ms, _ := strconv.Atoi(h.Get("Test-Deadline"))
	return RequestMeta{Key: h.Get("Test-Key"), AttemptID: h.Get("Test-Id"), LastEventID: h.Get("Last-Event-Id"),
		Deadline: time.Duration(ms) * time.Millisecond}, nil
}

func (testDialect) WriteRequest(h http.Header, m RunnerMeta) {
	h.Del("Test-Key")
	h.Del("Test-Tenant")
	if m.Tenant != "" {
		h.Set("Test-Tenant", m.Tenant)
	}
	h.Set("Test-Runner", m.RunnerID)
	h.Set("Test-Urgency", strconv.Itoa(m.Urgency))
	h.Set("Test-Left", strconv.FormatInt(m.Deadline.Milliseconds(), 10))
	if m.LastEventID != "" {
		h.Set("Last-Event-Id", m.LastEventID)
	}
}

func (testDialect) ReadResponse(status int, h http.Header) ResponseMeta {
	return ResponseMeta{AttemptID: h.Get("Test-Id"), NotExecuted: h.Get("Test-Not-Run") != "", Sealed: h.Get("Test-Seal") != "",
		OtherRunner: status == http.StatusMisdirectedRequest}
}

// fakeQuotas admits every request except those of the quotas listed as exhausted.
type fakeQuotas struct {
	exhausted                 map[string]bool
	unanswered                map[string]bool // the exhausted quotas that Unanswered reports
	reserved, spent, released atomic.Int64
	onReserve                 func() // called by Reserve; may be nil
}

func (q *fakeQuotas) Reserve(_ context.Context, quota string, _ int) (bool, time.Duration) {
	if q.onReserve != nil {
		q.onReserve()
	}
	if q.exhausted[quota] {
		return false, time.Second
	}
	q.reserved.Add(1)
	return true, 0
}
func (q *fakeQuotas) Unanswered(quota string) bool { return q.unanswered[quota] }
func (q *fakeQuotas) Release(string, int)          { q.released.Add(1) }
func (q *fakeQuotas) Scarce(string) bool           { return false }
func (q *fakeQuotas) Spend(string, int)            { q.spent.Add(1) }

// fleet is a gateway with the runners that a test adds.
type fleet struct {
	*testing.T
	gateway  *Gateway
	balancer *balance.Balancer
	quotas   *fakeQuotas
	server   *httptest.Server
	url      string
	table    atomic.Pointer[routing.Table]
	mu       sync.Mutex
	runners  []routing.Runner
}

const testHost = "desk.example"

func newFleet(t *testing.T, routes ...routing.RouteSpec) *fleet {
	f := &fleet{T: t, balancer: balance.New("north"), quotas: &fakeQuotas{exhausted: map[string]bool{}}}
	f.setTable(1, routes...)
	pool := upstream.New(upstream.Options{})
	t.Cleanup(pool.Close)
	f.gateway = New(Options{Dialect: testDialect{}, Table: f.table.Load, NotReadyReason: func() string { return "" }, Balancer: f.balancer, Pool: pool,
		Quotas: f.quotas, Retries: RetryBounds{Ratio: 1, Allowance: 10}, LocalShare: func(n int) int { return n }, Log: slog.New(slog.DiscardHandler)})
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(f.server.Close)
	f.url = f.server.URL
	return f
}

func (f *fleet) setTable(revision uint64, routes ...routing.RouteSpec) {
	spec := routing.Spec{Revision: revision, Routes: routes, Services: []routing.Service{{Name: "desk"}},
		Tenants: []routing.TenantSpec{{Name: "yard", Keys: []string{"k1"}, Rate: 100}},
		Limits:  routing.Limits{BodyBytes: 1000}}
	table, fieldErrors := routing.Build(spec)
	if len(fieldErrors) > 0 {
		f.Fatal(fieldErrors)
	}
	f.table.Store(table)
}

func route(kind routing.Kind, attempts int, resume bool) routing.RouteSpec {
	return routing.RouteSpec{Name: "r", Host: testHost, Prefix: "/a/", Kind: kind, Resume: resume, MaxAttempts: attempts,
		Timeout: 5 * time.Second, TargetLatency: time.Second, Split: []routing.SplitSpec{{Service: "desk", Weight: 1}}}
}

// addRunner adds a runner that serves requests with handler.
func (f *fleet) addRunner(id string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	f.Cleanup(server.Close)
	f.addRunnerAt(id, server.Listener.Addr().String())
}

// addRawRunner adds a runner that calls serve for each request; serve writes to the connection directly.
func (f *fleet) addRawRunner(id string, serve func(conn net.Conn, request *http.Request)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeQuietly(conn)
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					drainBody(request.Body)
					serve(conn, request)
				}
			}()
		}
	}()
	f.addRunnerAt(id, listener.Addr().String())
}

func (f *fleet) addRunnerAt(id, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, routing.Runner{ID: id, Service: "desk", Address: address, Zone: "north", State: routing.RunnerReady, Slots: 8})
	f.balancer.Update(f.runners)
}

func (f *fleet) send(id, path, key, body string, header ...string) (*http.Response, string, error) {
	request, _ := http.NewRequest("POST", f.url+path, strings.NewReader(body))
	request.Host = testHost
	request.Header.Set("Test-Id", id)
	if key != "" {
		request.Header.Set("Test-Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer closeQuietly(response.Body)
	raw, err := io.ReadAll(response.Body)
	return response, string(raw), err
}

// respondWith returns a handler that responds with text, the seal and the request's ID.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Seal", "s")
		writeText(w, text)
	}
}

func TestBufferedResponse(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	var header http.Header
	var path, body string
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		header, path, body = r.Header.Clone(), r.RequestURI, string(raw)
		respondWith("text")(w, r)
	})
	response, text, err := f.send("7", "/a/b%20c?x=1&y", "k1", "asked", "Test-Tenant", "other", "X-More", "kept")
	if err != nil || response.StatusCode != 200 || text != "text" || response.Header.Get("Test-Seal") != "s" {
		t.Fatalf("got %v %q, error %v, want the runner's sealed response", response, text, err)
	}
	if path != "/a/b%20c?x=1&y" || body != "asked" {
		t.Errorf("the runner got %q with %q, want the client's path and body", path, body)
	}
	if header.Get("Test-Tenant") != "yard" || header.Get("Test-Key") != "" || header.Get("X-More") != "kept" || header.Get("Test-Runner") != "one" {
		t.Errorf("the runner got headers %v, want tenant yard, no key, X-More and its own ID", header)
	}
	if f.quotas.spent.Load() != 1 || f.quotas.released.Load() != 0 {
		t.Errorf("quota: got %d spent and %d released, want 1 and 0", f.quotas.spent.Load(), f.quotas.released.Load())
	}
}

func TestRejections(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("one", respondWith("text"))
	f.quotas.exhausted["yard"] = true
	for _, c := range []struct {
		path, key, body string
		want            int
	}{
		{"/a/x", "k1", "asked", 429},
		{"/a/x", "k2", "asked", 401},
		{"/a/x", "", "asked", 401},
		{"/b/x", "k1", "asked", 404},
	} {
		if response, _, err := f.send("1", c.path, c.key, c.body); err != nil || response.StatusCode != c.want {
			t.Errorf("%s with key %q: got %v, error %v, want status %d", c.path, c.key, response, err, c.want)
		}
	}
	f.quotas.unanswered = map[string]bool{"yard": true}
	if response, _, err := f.send("1", "/a/x", "k1", "asked"); err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Errorf("limit not known: got %v, error %v, want status 503 with Retry-After", response, err)
	}
	f.quotas.exhausted["yard"] = false
	if response, _, err := f.send("1", "/a/x", "k1", strings.Repeat("x", 1001)); err != nil || response.StatusCode != 413 {
		t.Errorf("body over the limit: got %v, error %v, want status 413", response, err)
	}
	if f.quotas.reserved.Load() != f.quotas.released.Load() {
		t.Errorf("quota: got %d reserved and %d released, want all released", f.quotas.reserved.Load(), f.quotas.released.Load())
	}
}

// A request that a runner promises not to have run is retried at another runner, up to MaxAttempts.
func TestRejectedByRunnerIsRetried(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Test-Not-Run", "1")
		w.WriteHeader(503)
	}
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("full", full)
	response, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, error %v, want 503 with Retry-After", response, err)
	}
	f = newFleet(t, route(routing.Unsafe, 3, false))
	f.addRunner("full", full)
	f.addRunner("moved", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) })
	f.addRunner("free", respondWith("text"))
	for i := range 5 {
		if response, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "text" {
			t.Fatalf("request %d: got %v, error %v, want the free runner's response", i, response, err)
		}
	}
}

// Once a byte may have been sent, only an idempotent request is sent to another runner.
func TestOnlyIdempotentIsRetriedAfterSending(t *testing.T) {
	for _, c := range []struct {
		kind     routing.Kind
		attempts int
		want     int
	}{{routing.Unsafe, 3, 502}, {routing.Safe, 1, 502}, {routing.Safe, 2, 200}} {
		f := newFleet(t, route(c.kind, c.attempts, false))
		var ran atomic.Int64
		f.addRawRunner("cuts", func(conn net.Conn, _ *http.Request) { ran.Add(1); closeQuietly(conn) })
		f.addRawRunner("cuts too", func(conn net.Conn, _ *http.Request) { ran.Add(1); closeQuietly(conn) })
		if c.want == 200 {
			f.mu.Lock()
			f.runners = f.runners[:1]
			f.mu.Unlock()
			f.addRunner("good", respondWith("text"))
		}
		response, _, err := f.send("1", "/a/x", "k1", "")
		if err != nil || response.StatusCode != c.want {
			t.Errorf("%+v: got %v, error %v", c, response, err)
		}
		if c.want == 502 && ran.Load() != 1 {
			t.Errorf("%+v: it ran %d times, want 1", c, ran.Load())
		}
	}
}

// An unreachable runner has received no byte, so another one is tried. This does not count towards MaxAttempts.
func TestUnreachableRunnerIsPassedOver(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addRunnerAt("down", closed.Addr().String())
	closeQuietly(closed)
	f.addRunner("good", respondWith("text"))
	for i := range 4 {
		if response, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "text" {
			t.Fatalf("request %d: got %v %q, error %v, want the reachable runner's response", i, response, text, err)
		}
	}
}

// A response that is truncated, unframed, malformed, without a seal or for another request is never forwarded as a success.
func TestDamagedResponsesAreNoSuccess(t *testing.T) {
	for name, bytes := range map[string]string{
		"unsealed":   "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"cut":        "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\nContent-Length: 9\r\n\r\nok",
		"cut chunks": "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"unframed":   "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\n\r\nok",
		"no answer":  "\x00\x01\x02 what\r\n\r\n",
		"other's":    "HTTP/1.1 200 OK\r\nTest-Id: 9\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok",
	} {
		f := newFleet(t, route(routing.Unsafe, 1, false))
		f.addRawRunner("bad", func(conn net.Conn, _ *http.Request) { writeText(conn, bytes); closeQuietly(conn) })
		if response, text, err := f.send("1", "/a/x", "k1", ""); err == nil && response.StatusCode < 500 {
			t.Errorf("%s: got %v %q, want no success", name, response, text)
		}
	}
}

// A late response to an earlier request on the same connection is skipped.
func TestLateResponseIsSkipped(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRawRunner("late", func(conn net.Conn, r *http.Request) {
		own := "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 4\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\n\r\nmine"
		writeText(conn, "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 5\r\nTest-Id: 0\r\n\r\nother"+own)
	})
	for i := 1; i < 4; i++ {
		if response, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "mine" {
			t.Fatalf("request %d: got %v %q, error %v, want its own response", i, response, text, err)
		}
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// streamUpTo returns a runner that sends the events after Last-Event-Id up to end. If end is not last, it breaks off within the
// next event and closes the connection. It appends each request's Last-Event-Id to lastEventIDs.
func streamUpTo(end, last int, lastEventIDs *[]string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		*lastEventIDs = append(*lastEventIDs, r.Header.Get("Last-Event-Id"))
		text := events(from+1, end)
		writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s%d\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			end, r.Header.Get("Test-Id"), len(text), text))
		if end == last {
			writeText(conn, "0\r\n\r\n")
			return
		}
		writeText(conn, "20\r\nid: 99\nda")
		closeQuietly(conn)
	}
}

// If a runner breaks off a stream and the route permits it, the stream is resumed at another runner within the same response,
// with no event missing or duplicated. Otherwise the response does not end as if it were complete.
func TestStreamIsResumed(t *testing.T) {
	for _, resume := range []bool{true, false} {
		f := newFleet(t, route(routing.Streaming, 3, resume))
		var lastEventIDs []string
		f.addRawRunner("cuts", streamUpTo(3, 9, &lastEventIDs))
		response, text, err := f.send("1", "/a/x", "k1", "")
		if response == nil || response.Header.Get("Test-Seal") != "s3" || text != events(1, 3) || err == nil {
			t.Fatalf("resume %v: got %v %q, error %v, want three events and an aborted connection", resume, response, text, err)
		}
		f.addRawRunner("whole", streamUpTo(9, 9, &lastEventIDs))
		for range 6 { // either runner may be chosen first
			lastEventIDs = nil
			_, text, err = f.send("2", "/a/x", "k1", "")
			if resume && (err != nil || text != events(1, 9)) {
				t.Fatalf("got %q, error %v, want all nine events (Last-Event-Id of each run: %v)", text, err, lastEventIDs)
			}
			if err == nil && text != events(1, 9) {
				t.Fatalf("a truncated stream ends as if complete: got %q", text)
			}
			if len(lastEventIDs) > 1 && (!resume || lastEventIDs[1] != "3") {
				t.Fatalf("got Last-Event-Ids %q, want 3 in the second run", lastEventIDs)
			}
			time.Sleep(400 * time.Millisecond) // until the ejection of the failed runner has ended
		}
	}
}

// If a client disconnects, its request at the runner is cancelled.
func TestClientDisconnects(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	started, cancelled := make(chan bool, 1), make(chan bool, 1)
	var disconnected time.Time
	f.addRunner("slow", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		started <- true
		<-r.Context().Done()
		cancelled <- true
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, "POST", f.url+"/a/x", nil)
	request.Host = testHost
	request.Header.Set("Test-Key", "k1")
	go func() {
		<-started
		disconnected = time.Now()
		cancel()
	}()
	if _, err := http.DefaultTransport.RoundTrip(request); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	<-cancelled
	if took := time.Since(disconnected); took > timingTolerance {
		t.Errorf("the runner's request was cancelled %s after the client had disconnected, want at most %s", took, timingTolerance)
	}
}

// A request whose runner stalls ends at its deadline with 504, because it may have run.
func TestDeadline(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("silent", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		<-r.Context().Done()
	})
	response, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "80")
	if err != nil || response.StatusCode != 504 {
		t.Fatalf("got %v, error %v, want status 504", response, err)
	}
}

// The current routing table is applied before each retry: a request whose route has been removed is not retried.
func TestRevokedBetweenAttempts(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 3, false))
	f.addRawRunner("cuts", func(conn net.Conn, _ *http.Request) {
		moved := route(routing.Safe, 3, false)
		moved.Prefix = "/elsewhere/"
		f.setTable(2, moved)
		closeQuietly(conn)
	})
	response, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != 502 {
		t.Fatalf("got %v, error %v, want status 502", response, err)
	}
}

func TestStateChart(t *testing.T) {
	follow := func(chart stateChart, states ...State) error {
		for _, s := range states {
			if err := chart.advance(s); err != nil {
				return err
			}
		}
		return nil
	}
	untilSent := []State{Routed, Authenticated, Admitted, Selected, Sent}
	if err := follow(stateChart{}, append(untilSent, Admitted)...); err == nil {
		t.Error("a request that is not idempotent and may have run returned to admitted")
	}
	if err := follow(stateChart{}, append(untilSent, Rejected)...); err == nil {
		t.Error("a request that may have run was rejected as not executed")
	}
	if err := follow(stateChart{idempotent: true}, append(untilSent, Admitted, Selected, Sent, Responding, Completed)...); err != nil {
		t.Error(err)
	}
	if err := follow(stateChart{}, Selected); err == nil {
		t.Error("got no error for a transition that is not permitted")
	}
}
