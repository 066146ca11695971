package sim_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/runner"
)

// A runner sends nothing of a non-streamed answer before the answer is complete. A long answer must neither fail nor count
// against the health of its runner, which keeps receiving queries in the meantime.
func TestLongUnstreamedAnswers(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 2, strings.ReplaceAll(testConfig(""), `"patience_ms":20000`, `"patience_ms":2000`), newModelRunner(8, 60*time.Millisecond))
		l := &resultLog{}
		var all sync.WaitGroup
		for i := range 2 {
			all.Go(func() {
				l.add(w.send(w.ctx, w.full[i], query{n: uint64(i + 1), tenant: "rich", path: "/notes", key: fmt.Sprint("k", i), body: prompt(2000 + w.chance(1000))}))
			})
		}
		time.Sleep(time.Duration(20+w.chance(40)) * time.Second)
		for i, r := range w.full {
			if why := r.router.Runners.List()[0].Health(); why != "" {
				t.Errorf("%s: the runner that produces long answers has health %q", r.name, why)
			}
			l.add(w.send(w.ctx, r, query{n: uint64(10 + i), tenant: "rich", path: "/ask", body: prompt(2)}))
		}
		all.Wait()
		for _, g := range l.list() {
			if g.status != 200 {
				t.Errorf("query %d: %d %s after %s", g.n, g.status, g.code, g.took)
			}
		}
		w.checkResults(l)
	})
}

// A traffic class limits how long a runner may send nothing. A query to a hanging runner fails after that time; for a
// non-streamed answer, the time that the requested length may take is added.
func TestRunnerSilenceLimit(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		a := newModelRunner(8, 10*time.Millisecond)
		w := newFullFleet(t, seed, 1, strings.ReplaceAll(testConfig(""), `"patience_ms":20000`, `"patience_ms":20000,"silence_ms":4000`), a)
		a.mu.Lock()
		a.hang = true
		a.mu.Unlock()
		for i, c := range []struct {
			tokens int
			stream bool
			wait   time.Duration
		}{{50, true, 4 * time.Second}, {50, false, 9 * time.Second}} {
			body := prompt(c.tokens)
			body["stream"] = c.stream
			g := w.send(w.ctx, w.full[0], query{n: uint64(i + 1), tenant: "rich", path: "/ask", body: body})
			if g.code != "runner-silent" || g.run != "unknown" || g.took < c.wait || g.took > c.wait+time.Second {
				t.Errorf("stream %v: got %d %s (%s) after %s, want runner-silent after %s", c.stream, g.status, g.code, g.run, g.took, c.wait)
			}
			time.Sleep(20 * time.Second) // until the runner counts as healthy again
		}
	})
}

// stalledConn is a client's connection that accepts up to limit bytes. A write beyond them blocks until the write deadline.
type stalledConn struct {
	*httptest.ResponseRecorder
	mu            sync.Mutex
	limit         int
	writeDeadline time.Time
}

func (d *stalledConn) SetWriteDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeDeadline = t
	return nil
}

func (d *stalledConn) Write(b []byte) (int, error) {
	d.mu.Lock()
	full, until := d.Body.Len()+len(b) > d.limit, d.writeDeadline
	d.mu.Unlock()
	if !full {
		return d.ResponseRecorder.Write(b)
	}
	if until.IsZero() {
		select {} // like a socket without a deadline
	}
	time.Sleep(time.Until(until))
	return 0, os.ErrDeadlineExceeded
}

// A client that stops reading blocks neither its runner nor replication to the replica, and does not affect the health of
// the runner.
func TestClientStopsReading(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 4, testConfig(""), newModelRunner(1, 50*time.Millisecond))
		r := w.full[0]
		d := &stalledConn{ResponseRecorder: httptest.NewRecorder(), limit: 200 + w.chance(1000)}
		req := httptest.NewRequestWithContext(w.ctx, "POST", "/ask", strings.NewReader(`{"model":"m","prompt":"a","stream":true,"max_tokens":300}`))
		req.Header.Set("Authorization", "Bearer demo-rich")
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-N", "1")
		ended := make(chan time.Time, 1)
		begun := time.Now()
		go func() {
			defer func() { _ = recover(); ended <- time.Now() }()
			r.router.Clients.ServeHTTP(d, req)
		}()
		time.Sleep(18 * time.Second)
		e := r.router.Runners.List()[0]
		if n, _ := e.Load(); n != 0 || e.Health() != "" {
			t.Errorf("18 s after the start of a stream of 15 s, the runner has %d streams and health %q", n, e.Health())
		}
		g := w.send(w.ctx, w.full[2], query{n: 2, tenant: "rich", path: "/v1/streams/" + d.Header().Get(runner.RequestHeader), method: "GET"})
		if n := strings.Count(string(g.body), "data: {"); n != 300 || !strings.HasSuffix(string(g.body), "data: [DONE]\n\n") {
			t.Errorf("resumed at another router: %d of 300 chunks, ended with %q", n, tail(g.body))
		}
		select {
		case at := <-ended:
			t.Logf("the handler ended after %s", at.Sub(begun))
		default:
			t.Error("the handler still waits for the client")
		}
	})
}

// An answer that cannot be distinguished from a truncated one is never reported as a success; every other complete answer
// is.
func TestFraming(t *testing.T) {
	t.Parallel()
	const jsonHead, streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	event := "data: {\"i\":0,\"n\":#}\n\n"
	for name, c := range map[string]struct {
		raw    string
		stream bool
		code   string
	}{
		"whole by length":                {jsonHead + "Content-Length: 7\r\n\r\n{\"n\":#}", false, ""},
		"whole by chunks":                {jsonHead + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"n\":#}\r\n0\r\n\r\n", false, ""},
		"by the connection's end":        {jsonHead + "\r\n{\"n\":#}", false, "answer-unframed"},
		"by the end, said to be closed":  {jsonHead + "Connection: close\r\n\r\n{\"n\":#}", false, "answer-unframed"},
		"old protocol, no length":        {"HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{\"n\":#}", false, "answer-unframed"},
		"shorter than its length":        {jsonHead + "Content-Length: 9\r\n\r\n{\"n\":#}", false, "runner-lost"},
		"chunks without the last":        {jsonHead + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"n\":#}\r\n", false, "runner-lost"},
		"chunk cut in the middle":        {jsonHead + "Transfer-Encoding: chunked\r\n\r\n9\r\n{\"n\":#}", false, "runner-lost"},
		"stream by chunks":               {streamHead + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + event + "\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true, ""},
		"stream by the connection's end": {streamHead + "\r\n" + event + "data: [DONE]\n\n", true, "answer-unframed"},
		"stream without the last chunk":  {streamHead + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + event + "\r\ne\r\ndata: [DONE]\n\n\r\n", true, "runner-lost"},
		"stream without its end":         {streamHead + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + event + "\r\n0\r\n\r\n", true, "runner-lost"},
	} {
		t.Run(name, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				m := newModelRunner(8, 10*time.Millisecond)
				m.rawAnswer = c.raw
				w := newFullFleet(t, seed, 2, testConfig(""), m)
				l := &resultLog{}
				body := prompt(1)
				body["stream"] = c.stream
				g := w.send(w.ctx, w.full[0], query{n: 1, tenant: "rich", path: "/ask", body: body})
				l.add(g)
				code := g.code
				if c.stream && code == "" {
					if _, ev, ok := strings.Cut(string(g.body), "event: trouble\ndata: "); ok {
						code = gjson.Get(ev, "error.code").Str
					}
				}
				if code != c.code || strings.Contains(string(g.body), "[DONE]") != (c.stream && c.code == "") || !c.stream && (g.status == http.StatusOK) != (c.code == "") {
					t.Errorf("got status %d, code %q, body %s; want code %q", g.status, code, g.body, c.code)
				}
				w.checkResults(l)
			})
		})
	}
}

// Withdrawing a key ends everything that runs under it within 2 s: a stream without output, a stream that is being resumed
// at another router, and a non-streamed answer. A query that may run only once completes, so that its outcome is known,
// but its answer is not delivered.
func TestWithdrawnKeyEndsIdleQueries(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		gone := `,"gone":{"funded":true,"keys":["` + keyHash("gone") + `"]}`
		w := newFullFleet(t, seed, 4, testConfig(gone), newModelRunner(8, 5*time.Second))
		var all sync.WaitGroup
		l := &resultLog{}
		body := prompt(4)
		body["stream"] = true
		var id string
		all.Go(func() {
			g := w.send(w.ctx, w.full[1], query{n: 1, tenant: "gone", path: "/ask", body: body})
			l.add(g)
		})
		all.Go(func() { l.add(w.send(w.ctx, w.full[0], query{n: 2, tenant: "gone", path: "/ask", body: prompt(4)})) })
		all.Go(func() {
			l.add(w.send(w.ctx, w.full[2], query{n: 3, tenant: "gone", path: "/notes", key: "k", body: prompt(4)}))
		})
		time.Sleep(time.Second)
		for _, s := range w.arrivals() {
			if s.n == 1 {
				id = s.id
			}
		}
		time.Sleep(time.Duration(5000+w.chance(4000)) * time.Millisecond)
		all.Go(func() {
			l.add(w.send(w.ctx, w.full[3], query{n: 1, tenant: "gone", path: "/v1/streams/" + id, method: "GET"}))
		})
		time.Sleep(time.Duration(100+w.chance(900)) * time.Millisecond)
		w.applyConfig(testConfig(""))
		acked := time.Now()
		all.Wait()
		for _, g := range l.list() {
			ended := g.begun.Add(g.took).Sub(acked)
			if g.n != 3 && ended > 2*time.Second {
				t.Errorf("query %d ended %s after its key was withdrawn", g.n, ended)
			}
			if !strings.Contains(string(g.body), "key-withdrawn") || strings.Contains(string(g.body), "[DONE]") {
				t.Errorf("query %d ended with %d %q", g.n, g.status, tail(g.body))
			}
		}
		w.checkResults(l)
		// The key is added again: the outcome of the query that may run only once is known.
		w.applyConfig(testConfig(gone))
		g := w.send(w.ctx, w.full[2], query{n: 3, tenant: "gone", path: "/notes", key: "k", body: prompt(4)})
		if g.status != 200 || w.arrivalCount(3) != 1 {
			t.Errorf("repeated query: got %d %s, %d runs", g.status, g.code, w.arrivalCount(3))
		}
	})
}
