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

// testDialect is a dialect with headers of the tests' own.
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

// fakeQuotas lets everything through but what is listed as spent.
type fakeQuotas struct {
	exhausted                 map[string]bool
	unanswered                map[string]bool // of those that are exhausted
	reserved, spent, released atomic.Int64
	onReserve                 func() // called by each reservation; nil: nothing
}

func (q *fakeQuotas) Reserve(_ context.Context, tenant string, _ int) (bool, time.Duration) {
	if q.onReserve != nil {
		q.onReserve()
	}
	if q.exhausted[tenant] {
		return false, time.Second
	}
	q.reserved.Add(1)
	return true, 0
}
func (q *fakeQuotas) Unanswered(tenant string) bool { return q.unanswered[tenant] }
func (q *fakeQuotas) Release(string, int)           { q.released.Add(1) }
func (q *fakeQuotas) Scarce(string) bool            { return false }
func (q *fakeQuotas) Spend(string, int)             { q.spent.Add(1) }

// fleet is a gateway with runners of the test's making.
type fleet struct {
	*testing.T
	gateway  *Gateway
	balancer *balance.Balancer
	quotas   *fakeQuotas
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
	server := httptest.NewServer(f.gateway)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fleet) setTable(revision uint64, routes ...routing.RouteSpec) {
	spec := routing.Spec{Revision: revision, Routes: routes, Services: []routing.Service{{Name: "desk"}},
		Tenants: []routing.TenantSpec{{Name: "yard", Keys: []string{"k1"}, Rate: 100}},
		Limits:  routing.Limits{BodyBytes: 1000}}
	table, flaws := routing.Build(spec)
	if len(flaws) > 0 {
		f.Fatal(flaws)
	}
	f.table.Store(table)
}

func route(kind routing.Kind, attempts int, resume bool) routing.RouteSpec {
	return routing.RouteSpec{Name: "r", Host: testHost, Prefix: "/a/", Kind: kind, Resume: resume, MaxAttempts: attempts,
		Timeout: 5 * time.Second, TargetLatency: time.Second, Split: []routing.SplitSpec{{Service: "desk", Weight: 1}}}
}

// addRunner adds a runner that answers with handler.
func (f *fleet) addRunner(id string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	f.Cleanup(server.Close)
	f.addRunnerAt(id, server.Listener.Addr().String())
}

// addRawRunner adds a runner that does with each connection's requests what answer says.
func (f *fleet) addRawRunner(id string, answer func(con net.Conn, request *http.Request)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			con, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeQuietly(con)
				reader := bufio.NewReader(con)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					drainBody(request.Body)
					answer(con, request)
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
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer closeQuietly(answer.Body)
	raw, err := io.ReadAll(answer.Body)
	return answer, string(raw), err
}

// respondWith answers in full, with seal and id.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Seal", "s")
		writeText(w, text)
	}
}

func TestBufferedResponse(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	var seen http.Header
	var path, body string
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		seen, path, body = r.Header.Clone(), r.RequestURI, string(raw)
		respondWith("text")(w, r)
	})
	answer, text, err := f.send("7", "/a/b%20c?x=1&y", "k1", "asked", "Test-Tenant", "other", "X-More", "kept")
	if err != nil || answer.StatusCode != 200 || text != "text" || answer.Header.Get("Test-Seal") != "s" {
		t.Fatalf("got %v %q, error %v, want the runner's sealed response", answer, text, err)
	}
	if path != "/a/b%20c?x=1&y" || body != "asked" {
		t.Errorf("the runner got %q with %q, want the client's path and body", path, body)
	}
	if seen.Get("Test-Tenant") != "yard" || seen.Get("Test-Key") != "" || seen.Get("X-More") != "kept" || seen.Get("Test-Runner") != "one" {
		t.Errorf("the runner got headers %v, want tenant yard, no key, X-More and its own ID", seen)
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
		if answer, _, err := f.send("1", c.path, c.key, c.body); err != nil || answer.StatusCode != c.want {
			t.Errorf("%s with key %q: got %v, error %v, want status %d", c.path, c.key, answer, err, c.want)
		}
	}
	f.quotas.unanswered = map[string]bool{"yard": true}
	if answer, _, err := f.send("1", "/a/x", "k1", "asked"); err != nil || answer.StatusCode != 503 || answer.Header.Get("Retry-After") == "" {
		t.Errorf("limit not known: got %v, error %v, want status 503 with Retry-After", answer, err)
	}
	f.quotas.exhausted["yard"] = false
	if answer, _, err := f.send("1", "/a/x", "k1", strings.Repeat("x", 1001)); err != nil || answer.StatusCode != 413 {
		t.Errorf("body over the limit: got %v, error %v, want status 413", answer, err)
	}
	if f.quotas.reserved.Load() != f.quotas.released.Load() {
		t.Errorf("quota: got %d reserved and %d released, want all released", f.quotas.reserved.Load(), f.quotas.released.Load())
	}
}

// A request that a runner promises not to have run is retried at another one, within its attempts.
func TestRejectedByRunnerIsRetried(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Test-Not-Run", "1")
		w.WriteHeader(503)
	}
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("full", full)
	answer, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != 503 || answer.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, error %v, want 503 with Retry-After", answer, err)
	}
	f = newFleet(t, route(routing.Unsafe, 3, false))
	f.addRunner("full", full)
	f.addRunner("moved", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) })
	f.addRunner("free", respondWith("text"))
	for i := range 5 {
		if answer, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "text" {
			t.Fatalf("request %d: got %v, error %v, want the free runner's response", i, answer, err)
		}
	}
}

// Once a byte may have left, only an idempotent request is sent to another runner.
func TestOnlyIdempotentIsRetriedAfterSending(t *testing.T) {
	for _, c := range []struct {
		kind     routing.Kind
		attempts int
		want     int
	}{{routing.Unsafe, 3, 502}, {routing.Safe, 1, 502}, {routing.Safe, 2, 200}} {
		f := newFleet(t, route(c.kind, c.attempts, false))
		var ran atomic.Int64
		f.addRawRunner("cuts", func(con net.Conn, _ *http.Request) { ran.Add(1); closeQuietly(con) })
		f.addRawRunner("cuts too", func(con net.Conn, _ *http.Request) { ran.Add(1); closeQuietly(con) })
		if c.want == 200 {
			f.mu.Lock()
			f.runners = f.runners[:1]
			f.mu.Unlock()
			f.addRunner("good", respondWith("text"))
		}
		answer, _, err := f.send("1", "/a/x", "k1", "")
		if err != nil || answer.StatusCode != c.want {
			t.Errorf("%+v: got %v, error %v", c, answer, err)
		}
		if c.want == 502 && ran.Load() != 1 {
			t.Errorf("%+v: it ran %d times, want 1", c, ran.Load())
		}
	}
}

// A runner that cannot be reached got no byte: another one is tried, whatever the attempts.
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
		if answer, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "text" {
			t.Fatalf("request %d: got %v %q, error %v, want the reachable runner's response", i, answer, text, err)
		}
	}
}

// What is not the runner's complete sealed response to this request is never forwarded as a success.
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
		f.addRawRunner("bad", func(con net.Conn, _ *http.Request) { writeText(con, bytes); closeQuietly(con) })
		if answer, text, err := f.send("1", "/a/x", "k1", ""); err == nil && answer.StatusCode < 500 {
			t.Errorf("%s: got %v %q, want no success", name, answer, text)
		}
	}
}

// A late response to an earlier request, where ours is due, is skipped.
func TestLateResponseIsSkipped(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRawRunner("late", func(con net.Conn, r *http.Request) {
		own := "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 4\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\n\r\nmine"
		writeText(con, "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 5\r\nTest-Id: 0\r\n\r\nother"+own)
	})
	for i := 1; i < 4; i++ {
		if answer, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != "mine" {
			t.Fatalf("request %d: got %v %q, error %v, want its own response", i, answer, text, err)
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

// streamUpTo sends the events after Last-Event-Id up to its own end, and closes there if that is not the last.
func streamUpTo(end, last int, askedFor *[]string) func(net.Conn, *http.Request) {
	return func(con net.Conn, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		*askedFor = append(*askedFor, r.Header.Get("Last-Event-Id"))
		text := events(from+1, end)
		writeText(con, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s%d\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			end, r.Header.Get("Test-Id"), len(text), text))
		if end == last {
			writeText(con, "0\r\n\r\n")
			return
		}
		writeText(con, "20\r\nid: 99\nda")
		closeQuietly(con)
	}
}

// A stream that its runner breaks off is resumed at another one within one response where the route permits it, with no
// event missing or doubled; elsewhere it never ends as if it were complete.
func TestStreamIsResumed(t *testing.T) {
	for _, resume := range []bool{true, false} {
		f := newFleet(t, route(routing.Streaming, 3, resume))
		var asked []string
		f.addRawRunner("cuts", streamUpTo(3, 9, &asked))
		answer, text, err := f.send("1", "/a/x", "k1", "")
		if answer == nil || answer.Header.Get("Test-Seal") != "s3" || text != events(1, 3) || err == nil {
			t.Fatalf("resume %v: got %v %q, error %v, want three events and a cut connection", resume, answer, text, err)
		}
		f.addRawRunner("whole", streamUpTo(9, 9, &asked))
		for range 6 { // whichever runner comes first
			asked = nil
			_, text, err = f.send("2", "/a/x", "k1", "")
			if resume && (err != nil || text != events(1, 9)) {
				t.Fatalf("got %q, error %v, want all nine events (runs from %v)", text, err, asked)
			}
			if err == nil && text != events(1, 9) {
				t.Fatalf("a stream that was cut ends as if complete: got %q", text)
			}
			if len(asked) > 1 && (!resume || asked[1] != "3") {
				t.Fatalf("second run: got Last-Event-Id of both runs %q, want 3 in the second", asked)
			}
			time.Sleep(400 * time.Millisecond) // until the ejection of the runner that failed has ended
		}
	}
}

// Where a client disconnects, its runner's request is cancelled.
func TestClientDisconnects(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	began, left := make(chan bool, 1), make(chan bool, 1)
	var closed time.Time
	f.addRunner("slow", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		began <- true
		<-r.Context().Done()
		left <- true
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, "POST", f.url+"/a/x", nil)
	request.Host = testHost
	request.Header.Set("Test-Key", "k1")
	go func() {
		<-began
		closed = time.Now()
		cancel()
	}()
	if _, err := http.DefaultTransport.RoundTrip(request); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	<-left
	if took := time.Since(closed); took > timingTolerance {
		t.Errorf("the runner learnt of it %s after the client had disconnected, want %s at most", took, timingTolerance)
	}
}

// The deadline ends a request whose runner stalls, as one that may have run.
func TestDeadline(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("silent", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		<-r.Context().Done()
	})
	answer, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "80")
	if err != nil || answer.StatusCode != 504 {
		t.Fatalf("got %v, error %v, want status 504", answer, err)
	}
}

// Before a retry the newest table is obeyed.
func TestRevokedBetweenAttempts(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 3, false))
	f.addRawRunner("cuts", func(con net.Conn, _ *http.Request) {
		moved := route(routing.Safe, 3, false)
		moved.Prefix = "/elsewhere/"
		f.setTable(2, moved)
		closeQuietly(con)
	})
	answer, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != 502 {
		t.Fatalf("got %v, error %v, want status 502", answer, err)
	}
}

func TestStateChart(t *testing.T) {
	follow := func(j stateChart, states ...State) error {
		for _, s := range states {
			if err := j.advance(s); err != nil {
				return err
			}
		}
		return nil
	}
	begin := []State{Routed, Authenticated, Admitted, Selected, Sent}
	if err := follow(stateChart{}, append(begin, Admitted)...); err == nil {
		t.Error("a request that may have run, and must run once only, gets back to admitted")
	}
	if err := follow(stateChart{}, append(begin, Rejected)...); err == nil {
		t.Error("a request that may have run is rejected as not executed")
	}
	if err := follow(stateChart{idempotent: true}, append(begin, Admitted, Selected, Sent, Responding, Completed)...); err != nil {
		t.Error(err)
	}
	if err := follow(stateChart{}, Selected); err == nil {
		t.Error("got no error for a transition that the chart lacks")
	}
}
