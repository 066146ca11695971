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

// reader reads a stream event by event, so that a test can stop in the middle.
type reader struct {
	id  string
	ans *http.Response
	sc  *bufio.Scanner
}

func (l *Load) open(t *testing.T, r *Proc, tenant string, n uint64, tokens int) *reader {
	t.Helper()
	return l.begin(t, r, Kind{Path: "/v1/writeups", Tail: 10, Tokens: tokens, Stream: true}, tenant, n)
}

func (l *Load) begin(t *testing.T, r *Proc, k Kind, tenant string, n uint64) *reader {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+r.Client+k.Path, strings.NewReader(string(k.body(l.Fleet.Mix.Model, n, newRand(n)))))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+Key(tenant))
	response, err := l.http.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != 200 {
		raw, _ := io.ReadAll(response.Body)
		t.Fatalf("status %d: %s", response.StatusCode, raw)
	}
	return &reader{response.Header.Get("X-Yarrowridge-Query"), response, lines(response.Body)}
}

// next gives the next piece's number, or -1 and why there is none.
func (r *reader) next() (int, string) {
	for r.sc.Scan() {
		s, ok := strings.CutPrefix(r.sc.Text(), "data: ")
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

// rest resumes a stream after n pieces and reads it to its end.
func (l *Load) rest(t *testing.T, r *Proc, tenant, id string, n int) ([]int, string) {
	t.Helper()
	req, _ := http.NewRequest("GET", "http://"+r.Client+StreamsPath+id+"?after="+strconv.Itoa(n), nil)
	req.Header.Set("Authorization", "Bearer "+Key(tenant))
	response, err := l.http.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != 200 {
		raw, _ := io.ReadAll(response.Body)
		return nil, gjson.GetBytes(raw, "error.code").String()
	}
	rd := &reader{id, response, lines(response.Body)}
	var got []int
	for {
		i, why := rd.next()
		if why != "" {
			return got, why
		}
		got = append(got, i)
	}
}

const StreamsPath = "/v1/streams/"

func follows(got []int, from int) bool {
	for i, n := range got {
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
	f := up(t, mix)
	l := NewLoad(f, 1, 1)
	ctx, end := context.WithTimeout(t.Context(), 2*time.Minute)
	defer end()

	t.Run("origin leaves and resumes elsewhere", func(t *testing.T) {
		rd := l.open(t, f.Routers[0], "yard-a", 1, 120)
		for i := range 10 {
			if n, why := rd.next(); n != i {
				t.Fatalf("piece %d: got %d %s", i, n, why)
			}
		}
		_ = rd.ans.Body.Close()
		if _, why := l.rest(t, f.Routers[3], "yard-b", rd.id, 10); why != "no-stream" {
			t.Errorf("another tenant got %q, no-stream expected", why)
		}
		got, why := l.rest(t, f.Routers[3], "yard-a", rd.id, 10)
		if why != "done" || len(got) != 110 || !follows(got, 10) {
			t.Errorf("resumed: %d pieces from %v, ended %q", len(got), got[:min(3, len(got))], why)
		}
		// Once more from the start, after its end.
		if got, why := l.rest(t, f.Routers[5], "yard-a", rd.id, 0); why != "done" || len(got) != 120 || !follows(got, 0) {
			t.Errorf("read again: %d pieces, ended %q", len(got), why)
		}
	})

	t.Run("router killed", func(t *testing.T) {
		rd := l.open(t, f.Routers[1], "yard-a", 2, 400)
		n := 0
		for ; n < 20; n++ {
			if i, why := rd.next(); i != n {
				t.Fatalf("piece %d: got %d %s", n, i, why)
			}
		}
		f.Routers[1].Kill()
		for {
			i, why := rd.next()
			if why == "broken" {
				break
			}
			if i != n {
				t.Fatalf("piece %d: got %d %s", n, i, why)
			}
			n++
		}
		got, why := l.rest(t, f.Routers[2], "yard-a", rd.id, n)
		if why != "router-lost" || !follows(got, n) {
			t.Errorf("resumed after %d: %v, ended %q; router-lost expected", n, got, why)
		}
		if err := f.Routers[1].Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.Until(ctx, "the router is back", func() bool { return f.Ready(ctx, f.Routers[1]) }); err != nil {
			t.Fatal(err)
		}
	})

	// go-zero ends a process by itself some seconds after SIGTERM unless told otherwise; a stream
	// that takes longer than that must still come to its end.
	t.Run("router stops with a warning", func(t *testing.T) {
		rd := l.open(t, f.Routers[4], "yard-a", 4, 2500)
		n, why := rd.next()
		f.Routers[4].Signal(syscall.SIGTERM)
		at := time.Now()
		last := -1
		for ; why == ""; n, why = rd.next() {
			if n != last+1 {
				t.Fatalf("piece %d after %d", n, last)
			}
			last = n
		}
		if why != "done" || last != 2499 {
			t.Errorf("ended %q after piece %d, %s after the warning", why, last, time.Since(at).Round(time.Second))
		}
		if !f.Routers[4].Wait(10 * time.Second) {
			t.Error("the router does not stop once its stream has ended")
		}
		t.Logf("the stream ran on for %s", time.Since(at).Round(time.Second))
	})

	t.Run("runner cuts", func(t *testing.T) {
		for _, m := range f.Models {
			m.CutAfter(15)
		}
		rd := l.open(t, f.Routers[2], "yard-a", 3, 60)
		for i := range 15 {
			if n, why := rd.next(); n != i {
				t.Fatalf("piece %d: got %d %s", i, n, why)
			}
		}
		if n, why := rd.next(); why != "runner-lost" {
			t.Errorf("got %d %q, runner-lost expected", n, why)
		}
		for _, m := range f.Models {
			m.CutAfter(0)
		}
		if got, why := l.rest(t, f.Routers[6], "yard-a", rd.id, 5); why != "runner-lost" || len(got) != 10 || !follows(got, 5) {
			t.Errorf("resumed a lost stream: %v %q", got, why)
		}
	})
}

// A router is killed in the middle of two streams, and the runner of a third breaks off: what is
// answered alike by every run comes whole, through the standby or another runner; what is not ends as
// run-differs.
func TestStreamsCarryOn(t *testing.T) {
	takeFleetSlot(t)
	f := up(t, Tokachi())
	l := NewLoad(f, 1, 1)
	k := Kind{Path: "/v1/replies", Tail: 10, Tokens: 300, Stream: true}
	// kind finds a number whose prompt is answered alike by all runs, or never.
	next := uint64(1)
	kind := func(alike byte) uint64 {
		for Echo(k.body(f.Mix.Model, next, newRand(next)))[0]%3 != alike {
			next++
		}
		next++
		return next - 1
	}
	// First tries earn second ones.
	var all sync.WaitGroup
	for i := range 24 * len(f.Routers) {
		n := uint64(100000 + i)
		q := f.Mix.Kinds[0]
		all.Go(func() {
			if o := l.Ask(q, n, q.body(f.Mix.Model, n, newRand(n)), "desk-a", f.Routers[i%len(f.Routers)]); o.Status != 200 {
				t.Errorf("%d %s", o.Status, o.Code)
			}
		})
	}
	all.Wait()
	cut := l.begin(t, f.Routers[0], k, "desk-a", kind(2))
	for range 20 {
		cut.next()
	}
	for _, s := range f.RequestLog.All() {
		if s.Header.Get("X-Yarrowridge-Query") == cut.id {
			for _, m := range f.Models {
				if m.Name == s.Runner {
					m.CutAfter(1)
				}
			}
		}
	}
	n, why := 20, ""
	for i := 0; why == ""; n++ {
		if i, why = cut.next(); why == "" && i != n {
			t.Fatalf("piece %d in place %d", i, n)
		}
	}
	if why != "done" || n != 301 {
		t.Errorf("the stream whose runner broke off ended %q after %d pieces", why, n-1)
	}
	for _, m := range f.Models {
		m.CutAfter(0) // each router has earned one second try, not two
	}
	alike, other := l.begin(t, f.Routers[1], k, "desk-a", kind(2)), l.begin(t, f.Routers[1], k, "desk-a", kind(0))
	for i := range 20 {
		if a, _ := alike.next(); a != i {
			t.Fatalf("piece %d in place %d", a, i)
		}
		other.next()
	}
	f.Routers[1].Kill()
	drain := func(r *reader) (n int) {
		for n = 20; ; n++ {
			if _, why := r.next(); why != "" {
				return n
			}
		}
	}
	at := time.Now()
	n = drain(alike)
	if got, why := l.rest(t, f.Routers[3], "desk-a", alike.id, n); why != "done" || n+len(got) != 300 || !follows(got, n) {
		t.Errorf("resumed after %d: %d pieces, ended %q", n, len(got), why)
	}
	t.Logf("the stream whose router was killed was whole after %s", time.Since(at).Round(10*time.Millisecond))
	n = drain(other)
	if got, why := l.rest(t, f.Routers[3], "desk-a", other.id, n); why != "run-differs" || !follows(got, n) {
		t.Errorf("runs that differ, resumed after %d: %d pieces, ended %q", n, len(got), why)
	}
}

// lines scans a stream, however long its lines are.
func lines(in io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 1<<20)
	return sc
}
