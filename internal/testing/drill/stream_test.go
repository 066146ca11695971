package drill

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// streamReader reads a stream event by event, so that a test can stop in the middle.
type streamReader struct {
	id       string
	response *http.Response
	scanner  *bufio.Scanner
}

func (l *Load) openStream(t *testing.T, r *Proc, tenant string, n uint64, tokens int) *streamReader {
	t.Helper()
	return l.openStreamOfKind(t, r, RequestKind{Path: "/v1/writeups", TailBytes: 10, Tokens: tokens, Stream: true}, tenant, n)
}

func (l *Load) openStreamOfKind(t *testing.T, r *Proc, k RequestKind, tenant string, n uint64) *streamReader {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+r.ClientAddr+k.Path, strings.NewReader(string(k.body(l.Fleet.Mix.Model, n, requestRand(n)))))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+TenantKey(tenant))
	response, err := l.http.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != 200 {
		raw, _ := io.ReadAll(response.Body)
		t.Fatalf("status %d: %s", response.StatusCode, raw)
	}
	return &streamReader{response.Header.Get("X-Yarrowridge-Query"), response, lines(response.Body)}
}

// next gives the next piece's number, or -1 and why there is none.
func (r *streamReader) next() (int, string) {
	for r.scanner.Scan() {
		s, ok := strings.CutPrefix(r.scanner.Text(), "data: ")
		switch {
		case !ok:
		case s == "[DONE]":
			return -1, "done"
		case gjson.Get(s, "error").Exists():
			return -1, gjson.Get(s, "error.code").String()
		default:
			return int(gjson.Get(s, "i").Int()), ""
		}
	}
	return -1, "broken"
}

// resumeStream resumes a stream after n pieces and reads it to its end.
func (l *Load) resumeStream(t *testing.T, r *Proc, tenant, id string, n int) ([]int, string) {
	t.Helper()
	req, _ := http.NewRequest("GET", "http://"+r.ClientAddr+streamsPath+id+"?after="+strconv.Itoa(n), nil)
	req.Header.Set("Authorization", "Bearer "+TenantKey(tenant))
	response, err := l.http.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != 200 {
		raw, _ := io.ReadAll(response.Body)
		return nil, gjson.GetBytes(raw, "error.code").String()
	}
	stream := &streamReader{id, response, lines(response.Body)}
	var chunks []int
	for {
		i, end := stream.next()
		if end != "" {
			return chunks, end
		}
		chunks = append(chunks, i)
	}
}

const streamsPath = "/v1/streams/"

func isSequence(chunks []int, from int) bool {
	for i, n := range chunks {
		if n != from+i {
			return false
		}
	}
	return true
}

// Streams through lost clients, routers and runners: resumed at any piece through any router, with
// no gap, no repeat and no false end, and only by the tenant that owns them.
func TestStreams(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	mix.Config["lanes"].(object)["writeups"].(object)["repeat"] = false
	f := startTestFleet(t, mix)
	l := NewLoad(f, 1, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()

	t.Run("origin leaves and resumes elsewhere", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[0], "yard-a", 1, 120)
		for i := range 10 {
			if n, end := stream.next(); n != i {
				t.Fatalf("piece %d: got %d %s", i, n, end)
			}
		}
		_ = stream.response.Body.Close()
		if _, end := l.resumeStream(t, f.Routers[3], "yard-b", stream.id, 10); end != "no-stream" {
			t.Errorf("another tenant got %q, no-stream expected", end)
		}
		got, end := l.resumeStream(t, f.Routers[3], "yard-a", stream.id, 10)
		if end != "done" || len(got) != 110 || !isSequence(got, 10) {
			t.Errorf("resumed: %d pieces from %v, ended %q", len(got), got[:min(3, len(got))], end)
		}
		// Once more from the start, after its end.
		if got, end := l.resumeStream(t, f.Routers[5], "yard-a", stream.id, 0); end != "done" || len(got) != 120 || !isSequence(got, 0) {
			t.Errorf("read again: %d pieces, ended %q", len(got), end)
		}
	})

	t.Run("router killed", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[1], "yard-a", 2, 400)
		n := 0
		for ; n < 20; n++ {
			if i, end := stream.next(); i != n {
				t.Fatalf("piece %d: got %d %s", n, i, end)
			}
		}
		f.Routers[1].Kill()
		for {
			i, end := stream.next()
			if end == "broken" {
				break
			}
			if i != n {
				t.Fatalf("piece %d: got %d %s", n, i, end)
			}
			n++
		}
		got, end := l.resumeStream(t, f.Routers[2], "yard-a", stream.id, n)
		if end != "router-lost" || !isSequence(got, n) {
			t.Errorf("resumed after %d: %v, ended %q; router-lost expected", n, got, end)
		}
		if err := f.Routers[1].Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitUntil(ctx, "the router is back", func() bool { return f.IsReady(ctx, f.Routers[1]) }); err != nil {
			t.Fatal(err)
		}
	})

	// go-zero ends a process by itself some seconds after SIGTERM unless told otherwise; a stream
	// that takes longer than that must still come to its end.
	t.Run("router stops with a warning", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[4], "yard-a", 4, 2500)
		n, end := stream.next()
		f.Routers[4].Signal(syscall.SIGTERM)
		at := time.Now()
		last := -1
		for ; end == ""; n, end = stream.next() {
			if n != last+1 {
				t.Fatalf("piece %d after %d", n, last)
			}
			last = n
		}
		if end != "done" || last != 2499 {
			t.Errorf("ended %q after piece %d, %s after the warning", end, last, time.Since(at).Round(time.Second))
		}
		if !f.Routers[4].Wait(10 * time.Second) {
			t.Error("the router does not stop once its stream has ended")
		}
		t.Logf("the stream ran on for %s", time.Since(at).Round(time.Second))
	})

	t.Run("runner cuts", func(t *testing.T) {
		for _, m := range f.ModelRunners {
			m.BreakStreamsAfter(15)
		}
		stream := l.openStream(t, f.Routers[2], "yard-a", 3, 60)
		for i := range 15 {
			if n, end := stream.next(); n != i {
				t.Fatalf("piece %d: got %d %s", i, n, end)
			}
		}
		if n, end := stream.next(); end != "runner-lost" {
			t.Errorf("got %d %q, runner-lost expected", n, end)
		}
		for _, m := range f.ModelRunners {
			m.BreakStreamsAfter(0)
		}
		if got, end := l.resumeStream(t, f.Routers[6], "yard-a", stream.id, 5); end != "runner-lost" || len(got) != 10 || !isSequence(got, 5) {
			t.Errorf("resumed a lost stream: %v %q", got, end)
		}
	})
}

// A router is killed in the middle of two streams, and the runner of a third breaks off: what is
// answered alike by every run comes whole, through the standby or another runner; what is not ends as
// run-differs.
func TestStreamFailover(t *testing.T) {
	takeFleetSlot(t)
	f := startTestFleet(t, Tokachi())
	l := NewLoad(f, 1, 1)
	k := RequestKind{Path: "/v1/replies", TailBytes: 10, Tokens: 300, Stream: true}
	// kind finds a number whose prompt is answered alike by all runs, or never.
	next := uint64(1)
	nextNumber := func(identical byte) uint64 {
		for Echo(k.body(f.Mix.Model, next, requestRand(next)))[0]%3 != identical {
			next++
		}
		next++
		return next - 1
	}
	// First tries earn second ones.
	var all sync.WaitGroup
	for i := range 24 * len(f.Routers) {
		n := uint64(100000 + i)
		firstKind := f.Mix.Kinds[0]
		all.Go(func() {
			if o := l.Send(firstKind, n, firstKind.body(f.Mix.Model, n, requestRand(n)), "desk-a", f.Routers[i%len(f.Routers)]); o.Status != 200 {
				t.Errorf("%d %s", o.Status, o.Code)
			}
		})
	}
	all.Wait()
	broken := l.openStreamOfKind(t, f.Routers[0], k, "desk-a", nextNumber(2))
	for range 20 {
		broken.next()
	}
	for _, s := range f.RequestLog.All() {
		if s.Header.Get("X-Yarrowridge-Query") == broken.id {
			for _, m := range f.ModelRunners {
				if m.Name == s.Runner {
					m.BreakStreamsAfter(1)
				}
			}
		}
	}
	n, end := 20, ""
	for i := 0; end == ""; n++ {
		if i, end = broken.next(); end == "" && i != n {
			t.Fatalf("piece %d in place %d", i, n)
		}
	}
	if end != "done" || n != 301 {
		t.Errorf("the stream whose runner broke off ended %q after %d pieces", end, n-1)
	}
	for _, m := range f.ModelRunners {
		m.BreakStreamsAfter(0) // each router has earned one second try, not two
	}
	identical, different := l.openStreamOfKind(t, f.Routers[1], k, "desk-a", nextNumber(2)), l.openStreamOfKind(t, f.Routers[1], k, "desk-a", nextNumber(0))
	for i := range 20 {
		if a, _ := identical.next(); a != i {
			t.Fatalf("piece %d in place %d", a, i)
		}
		different.next()
	}
	f.Routers[1].Kill()
	readToEnd := func(r *streamReader) (n int) {
		for n = 20; ; n++ {
			if _, end := r.next(); end != "" {
				return n
			}
		}
	}
	at := time.Now()
	n = readToEnd(identical)
	if rest, end := l.resumeStream(t, f.Routers[3], "desk-a", identical.id, n); end != "done" || n+len(rest) != 300 || !isSequence(rest, n) {
		t.Errorf("resumed after %d: %d pieces, ended %q", n, len(rest), end)
	}
	t.Logf("the stream whose router was killed was whole after %s", time.Since(at).Round(10*time.Millisecond))
	n = readToEnd(different)
	if rest, end := l.resumeStream(t, f.Routers[3], "desk-a", different.id, n); end != "run-differs" || !isSequence(rest, n) {
		t.Errorf("runs that differ, resumed after %d: %d pieces, ended %q", n, len(rest), end)
	}
}

// lines scans a stream, however long its lines are.
func lines(in io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 1<<20)
	return sc
}
