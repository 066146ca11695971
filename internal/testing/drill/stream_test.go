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

// streamReader reads a stream event by event, so that a test can act in the middle of it.
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

// next returns the number of the next chunk, or -1 and the reason for the end of the stream: done, an error code, or
// broken if the connection ended without either.
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

// resumeStream resumes a stream after n chunks and reads it to its end. It returns the chunks and the reason for the end.
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

// Streams whose client disconnects, whose router is killed or whose runner breaks off can be resumed after any chunk and
// through any router, without gaps, repeats or a false end, and only by the tenant that owns them.
func TestStreams(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	mix.Config["lanes"].(object)["writeups"].(object)["repeat"] = false
	f := startTestFleet(t, mix)
	l := NewLoad(f, 1, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()

	t.Run("client disconnects and resumes elsewhere", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[0], "yard-a", 1, 120)
		for i := range 10 {
			if n, end := stream.next(); n != i {
				t.Fatalf("chunk %d: got %d, end %q", i, n, end)
			}
		}
		_ = stream.response.Body.Close()
		if _, end := l.resumeStream(t, f.Routers[3], "yard-b", stream.id, 10); end != "no-stream" {
			t.Errorf("another tenant got %q, want no-stream", end)
		}
		got, end := l.resumeStream(t, f.Routers[3], "yard-a", stream.id, 10)
		if end != "done" || len(got) != 110 || !isSequence(got, 10) {
			t.Errorf("resumed: got %d chunks from %v, ended with %q", len(got), got[:min(3, len(got))], end)
		}
		// A stream can also be read from its start after its end.
		if got, end := l.resumeStream(t, f.Routers[5], "yard-a", stream.id, 0); end != "done" || len(got) != 120 || !isSequence(got, 0) {
			t.Errorf("read again: got %d chunks, ended with %q", len(got), end)
		}
	})

	t.Run("router killed", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[1], "yard-a", 2, 400)
		n := 0
		for ; n < 20; n++ {
			if i, end := stream.next(); i != n {
				t.Fatalf("chunk %d: got %d, end %q", n, i, end)
			}
		}
		f.Routers[1].Kill()
		for {
			i, end := stream.next()
			if end == "broken" {
				break
			}
			if i != n {
				t.Fatalf("chunk %d: got %d, end %q", n, i, end)
			}
			n++
		}
		got, end := l.resumeStream(t, f.Routers[2], "yard-a", stream.id, n)
		if end != "router-lost" || !isSequence(got, n) {
			t.Errorf("resumed after chunk %d: got %v, ended with %q, want router-lost", n, got, end)
		}
		if err := f.Routers[1].Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitUntil(ctx, "the router is back", func() bool { return f.IsReady(ctx, f.Routers[1]) }); err != nil {
			t.Fatal(err)
		}
	})

	// By default go-zero ends a process some seconds after SIGTERM. A stream that takes longer still has to reach its end.
	t.Run("router stops after SIGTERM", func(t *testing.T) {
		stream := l.openStream(t, f.Routers[4], "yard-a", 4, 2500)
		n, end := stream.next()
		f.Routers[4].Signal(syscall.SIGTERM)
		at := time.Now()
		last := -1
		for ; end == ""; n, end = stream.next() {
			if n != last+1 {
				t.Fatalf("got chunk %d after chunk %d", n, last)
			}
			last = n
		}
		if end != "done" || last != 2499 {
			t.Errorf("the stream ended with %q after chunk %d, %s after SIGTERM", end, last, time.Since(at).Round(time.Second))
		}
		if !f.Routers[4].Wait(10 * time.Second) {
			t.Error("the router did not stop within 10 s after the end of its stream")
		}
		t.Logf("the router stopped %s after SIGTERM", time.Since(at).Round(time.Second))
	})

	t.Run("runner breaks off", func(t *testing.T) {
		for _, m := range f.ModelRunners {
			m.BreakStreamsAfter(15)
		}
		stream := l.openStream(t, f.Routers[2], "yard-a", 3, 60)
		for i := range 15 {
			if n, end := stream.next(); n != i {
				t.Fatalf("chunk %d: got %d, end %q", i, n, end)
			}
		}
		if n, end := stream.next(); end != "runner-lost" {
			t.Errorf("got chunk %d and end %q, want runner-lost", n, end)
		}
		for _, m := range f.ModelRunners {
			m.BreakStreamsAfter(0)
		}
		if got, end := l.resumeStream(t, f.Routers[6], "yard-a", stream.id, 5); end != "runner-lost" || len(got) != 10 || !isSequence(got, 5) {
			t.Errorf("resumed a lost stream: got chunks %v, ended with %q", got, end)
		}
	})
}

// The runner of one stream breaks off, and the router of two others is killed. Streams of prompts that every execution
// answers identically are completed by another runner or through the standby router. A stream whose executions differ
// ends with run-differs.
func TestStreamFailover(t *testing.T) {
	takeFleetSlot(t)
	f := startTestFleet(t, Tokachi())
	l := NewLoad(f, 1, 1)
	k := RequestKind{Path: "/v1/replies", TailBytes: 10, Tokens: 300, Stream: true}
	// nextNumber finds an unused number whose prompt falls into a class of firstTaggedChunk: 2 if all executions answer
	// it identically, 0 if none do.
	next := uint64(1)
	nextNumber := func(class byte) uint64 {
		for Echo(k.body(f.Mix.Model, next, requestRand(next)))[0]%3 != class {
			next++
		}
		next++
		return next - 1
	}
	// Second tries are allowed only in proportion to first tries.
	var all sync.WaitGroup
	for i := range 24 * len(f.Routers) {
		n := uint64(100000 + i)
		firstKind := f.Mix.Kinds[0]
		all.Go(func() {
			if o := l.Send(firstKind, n, firstKind.body(f.Mix.Model, n, requestRand(n)), "desk-a", f.Routers[i%len(f.Routers)]); o.Status != 200 {
				t.Errorf("got status %d, code %q", o.Status, o.Code)
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
			t.Fatalf("got chunk %d at position %d", i, n)
		}
	}
	if end != "done" || n != 301 {
		t.Errorf("the stream whose runner broke off ended with %q after %d chunks", end, n-1)
	}
	for _, m := range f.ModelRunners {
		m.BreakStreamsAfter(0) // each router may make one second try, not two
	}
	class, different := l.openStreamOfKind(t, f.Routers[1], k, "desk-a", nextNumber(2)), l.openStreamOfKind(t, f.Routers[1], k, "desk-a", nextNumber(0))
	for i := range 20 {
		if chunk, _ := class.next(); chunk != i {
			t.Fatalf("got chunk %d at position %d", chunk, i)
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
	n = readToEnd(class)
	if rest, end := l.resumeStream(t, f.Routers[3], "desk-a", class.id, n); end != "done" || n+len(rest) != 300 || !isSequence(rest, n) {
		t.Errorf("resumed after chunk %d: got %d chunks, ended with %q", n, len(rest), end)
	}
	t.Logf("the stream whose router was killed was complete after %s", time.Since(at).Round(10*time.Millisecond))
	n = readToEnd(different)
	if rest, end := l.resumeStream(t, f.Routers[3], "desk-a", different.id, n); end != "run-differs" || !isSequence(rest, n) {
		t.Errorf("executions that differ, resumed after chunk %d: got %d chunks, ended with %q", n, len(rest), end)
	}
}

// lines returns a scanner of a stream with lines of up to 1 MiB.
func lines(in io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 1<<20)
	return sc
}
