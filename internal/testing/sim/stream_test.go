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

// tap is an origin's connection: what comes through while its router lives and the origin listens.
type tap struct {
	mu   sync.Mutex
	head http.Header
	buf  bytes.Buffer
	shut func() bool
	code int
}

func (p *tap) Header() http.Header { return p.head }
func (p *tap) Flush()              {}
func (p *tap) WriteHeader(code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shut() && p.code == 0 {
		p.code = code
	}
}
func (p *tap) Write(b []byte) (int, error) {
	if p.shut() {
		return 0, errors.New("the connection is gone")
	}
	p.WriteHeader(200)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.Write(b)
}

// listen asks one router, and takes what comes until the answer ends, the router dies, or the origin
// hangs up by itself.
func (w *whole) listen(r *fullRouter, req *http.Request, hang time.Duration) (code int, id string, raw string) {
	run := r.now()
	if run == nil {
		return 0, "", ""
	}
	ctx, end := context.WithCancel(req.Context())
	defer end()
	until := time.Now().Add(hang)
	off := false
	var mu sync.Mutex
	p := &tap{head: http.Header{}, shut: func() bool {
		mu.Lock()
		defer mu.Unlock()
		return off || r.now() != run
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
			live = r.now() == run && (hang == 0 || time.Now().Before(until))
		}
	}
	mu.Lock()
	off = true
	mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.code != 0 {
		id = p.head.Get(runner.RequestHeader)
	}
	return p.code, id, p.buf.String()
}

// told is what an origin made of one stream.
type told struct {
	n      uint64
	id     string
	pieces []string
	end    string // "done", a trouble's code, or "" where nobody said anything more
	bad    string // what must never be
	asked  int
}

// take reads events; only whole ones count, as a client's parser has it.
func (o *told) take(raw string) {
	for {
		ev, rest, ok := strings.Cut(raw, "\n\n")
		if !ok || o.end != "" {
			return
		}
		raw = rest
		if strings.HasPrefix(ev, "event: trouble") {
			_, data, _ := strings.Cut(ev, "data: ")
			o.end = gjson.Get(data, "error.code").Str
			return
		}
		data, _, _ := strings.Cut(strings.TrimPrefix(ev, "data: "), "\n")
		if data == "[DONE]" {
			o.end = "done"
			return
		}
		_, no, _ := strings.Cut(ev, "\nid: ")
		i := len(o.pieces)
		if no != strconv.Itoa(i+1) || gjson.Get(data, "i").Int() != int64(i) {
			o.bad = fmt.Sprintf("piece %d came as %q", i+1, ev)
		}
		if gjson.Get(data, "n").Uint() != o.n {
			o.bad = fmt.Sprintf("piece of another's answer: %q", ev)
		}
		o.pieces = append(o.pieces, data)
	}
}

// judge looks at the whole: one run, nothing after its last piece, no end before it.
func (o *told) judge() string {
	if o.bad != "" {
		return o.bad
	}
	run := ""
	for i, p := range o.pieces {
		if r := gjson.Get(p, "run").Str; r != "" {
			if run != "" && r != run {
				return fmt.Sprintf("joins runs %s and %s at piece %d", run, r, i+1)
			}
			run = r
		}
		if last := gjson.Get(p, "last").Bool(); last && i < len(o.pieces)-1 {
			return fmt.Sprintf("goes on after its last piece, %d", i+1)
		} else if !last && i == len(o.pieces)-1 && o.end == "done" {
			return fmt.Sprintf("ended before its last piece, after %d", i+1)
		}
	}
	if o.end == "done" && len(o.pieces) == 0 {
		return "ended with no piece"
	}
	return ""
}

// stream asks for a stream at one router and, as often as the connection breaks without a word, for the
// rest of it at any other.
func (w *whole) stream(at int, n uint64, path string, tokens int, hang func() time.Duration) *told {
	o := &told{n: n}
	stop := time.Now().Add(60 * time.Second)
	for o.end == "" && time.Now().Before(stop) {
		r := w.full[at%len(w.full)]
		at++
		if r.now() == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var req *http.Request
		if o.id == "" {
			body := fmt.Sprintf(`{"model":"m","prompt":"p%d","stream":true,"max_tokens":%d}`, n, tokens)
			req = httptest.NewRequestWithContext(w.ctx, "POST", path, strings.NewReader(body))
			req.Header.Set("Content-Type", "application/json")
		} else {
			req = httptest.NewRequestWithContext(w.ctx, "GET", fmt.Sprintf("/v1/streams/%s?after=%d", o.id, len(o.pieces)), nil)
		}
		req.Header.Set("Authorization", "Bearer demo-rich")
		req.Header.Set("X-N", strconv.FormatUint(n, 10))
		o.asked++
		code, id, raw := w.listen(r, req, hang())
		switch {
		case code == 200:
			if o.id == "" {
				o.id = id
			}
			o.take(raw)
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

func never() time.Duration { return 0 }

func repeatLay(on bool) string {
	return strings.Replace(plainLay(""), `"ask":{"rank":3,`, fmt.Sprintf(`"ask":{"rank":3,"repeat":%v,`, on), 1)
}

// carrier and replica of a stream, by their own word.
func (w *whole) holders(id string) (carrier, study *fullRouter) {
	for _, r := range w.full {
		run := r.now()
		if run == nil {
			continue
		}
		for _, h := range run.Streams.List() {
			if h.RequestID == id && h.Own {
				carrier = r
			} else if h.RequestID == id {
				study = r
			}
		}
	}
	return carrier, study
}

// What becomes of a stream when its router, runner, replica or two of them fall at any moment, with
// and without a second run. The log is the table of docs/measurements.md.
func TestCarryOn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(w *whole, id, addr string)
		whole bool // it ends so, with a second run and runs that are alike
	}{
		{"runner", func(w *whole, _, addr string) { w.fell(addr) }, true},
		{"router", func(w *whole, id, _ string) { c, _ := w.holders(id); w.crashFull(c) }, true},
		{"understudy", func(w *whole, id, _ string) { _, s := w.holders(id); w.crashFull(s) }, true},
		{"runner and router", func(w *whole, id, addr string) { c, _ := w.holders(id); w.fell(addr); w.crashFull(c) }, true},
		{"runner and understudy", func(w *whole, id, addr string) { _, s := w.holders(id); w.fell(addr); w.crashFull(s) }, true},
		{"router and understudy", func(w *whole, id, _ string) { c, s := w.holders(id); w.crashFull(c); w.crashFull(s) }, false},
		{"router, then who took it over", func(w *whole, id, _ string) {
			c, _ := w.holders(id)
			w.crashFull(c)
			if _, s := w.holders(id); s == nil || ended(s, id) {
				return // it was over before its router fell
			}
			if lay := w.full[0].r.Cluster.Config(); !slices.ContainsFunc(lay.TrafficClasses, func(l fleetconfig.TrafficClass) bool { return l.RepeatLostStreams }) {
				return
			}
			w.within(9*time.Second, "taken over and guarded again", func() bool {
				n, s := w.holders(id)
				return n != nil && n != c && s != nil && slices.ContainsFunc(s.now().Streams.List(), func(h streamstore.Info) bool { return h.RequestID == id && h.Idempotent })
			})
			n, _ := w.holders(id)
			w.crashFull(n)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := map[string]int{}
			for _, repeat := range []bool{false, true} {
				for _, alike := range []bool{true, false} {
					if !repeat && !alike {
						continue
					}
					overSeeds(t, func(t *testing.T, seed uint64) {
						var all []*simRunner
						for i := range 4 {
							m := model(8, 40*time.Millisecond)
							switch {
							case alike:
							case seed%2 == 0:
								m.differ = 1 + int(seed)*13%90
							default:
								m.odd = 30 * i // runs that differ in length
							}
							all = append(all, m)
						}
						w := newWhole(t, seed, 8, repeatLay(repeat), all...)
						w.earn()
						ch := make(chan *told, 1)
						go func() { ch <- w.stream(w.chance(8), 1, "/ask", 100, never) }()
						time.Sleep(time.Duration(300+w.chance(3600)) * time.Millisecond)
						s := w.seen()
						if w.saw(1) != 1 {
							t.Fatalf("%d runs", w.saw(1))
						}
						c.fault(w, s[len(s)-1].id, s[len(s)-1].addr)
						o := <-ch
						if bad := o.judge(); bad != "" || o.end == "" {
							t.Errorf("repeat %v, alike %v: the stream ended %q with %d pieces: %s", repeat, alike, o.end, len(o.pieces), bad)
						}
						if repeat && alike && c.whole && o.end != "done" {
							t.Errorf("the stream ended %q after %d pieces", o.end, len(o.pieces))
						}
						sum[fmt.Sprintf("repeat %v, alike %v: %s", repeat, alike, o.end)]++
					})
				}
			}
			t.Logf("%v", sum)
		})
	}
}

// earn has every router know the others as ready, and earn its part of the second tries by first ones.
func (w *whole) earn() {
	w.within(3*time.Second, "all know all as ready", func() bool {
		for _, r := range w.full {
			for _, n := range r.r.Cluster.Nodes() {
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
			w.send(w.ctx, w.full[i%len(w.full)], ask{n: uint64(100000 + i), tenant: "rich", path: "/ask", body: prompt(1)})
		})
	}
	all.Wait()
}

// ended reports whether a router holds a stream's end.
func ended(r *fullRouter, id string) bool {
	return slices.ContainsFunc(r.now().Streams.List(), func(h streamstore.Info) bool { return h.RequestID == id && h.Ended })
}

// fell crashes the runner at an address.
func (w *whole) fell(addr string) {
	for _, s := range w.runners {
		if s.addr == addr {
			s.stop()
		}
	}
}

// Everything falls at once and again, origins come and go: no stream loses a piece, repeats one, joins
// two runs or claims an end that is none, whether runs are alike or not.
func TestStreamStorm(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for i := range 5 {
			m := model(16, 20*time.Millisecond)
			switch seed % 3 {
			case 1:
				m.differ = 1 + int(seed*13%60)
			case 2:
				m.odd = i
			}
			all = append(all, m)
		}
		w := newWhole(t, seed, 8, repeatLay(true), all...)
		var mu sync.Mutex
		sum := map[string]int{}
		stop := time.Now().Add(40 * time.Second)
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				for k := uint64(1); time.Now().Before(stop); k++ {
					o := w.stream(i+int(k), uint64(i)*1000+k, "/ask", 80, func() time.Duration {
						if w.chance(3) > 0 {
							return 0
						}
						return time.Duration(w.chance(3000)) * time.Millisecond
					})
					mu.Lock()
					if bad := o.judge(); bad != "" {
						t.Errorf("stream %s (%d) %s", o.id, o.n, bad)
					}
					sum[o.end]++
					mu.Unlock()
				}
			})
		}
		for time.Now().Before(stop) {
			r, q := w.full[w.chance(8)], w.full[w.chance(8)]
			s := w.runners[w.chance(len(w.runners))]
			switch w.chance(9) {
			case 0, 1:
				w.crashFull(r)
				time.Sleep(time.Duration(w.chance(3000)) * time.Millisecond)
				w.startFull(r)
			case 2:
				w.crashFull(r)
				w.crashFull(q)
				time.Sleep(time.Duration(w.chance(3000)) * time.Millisecond)
				w.startFull(r)
				if q != r {
					w.startFull(q)
				}
			case 3, 4:
				s.stop()
				time.Sleep(time.Duration(w.chance(1000)) * time.Millisecond)
				s.start()
			case 5:
				w.w.Cut(r.addr, q.addr) // one way
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
		t.Logf("ends %v", sum)
		if sum["done"] < 20 {
			t.Errorf("only %d streams ended whole", sum["done"])
		}
	})
}

// play is one stream under a directed course: its origin listens where it is told to.
type play struct {
	*whole
	o              *told
	owner, far     *fullRouter // far reaches all but the owner
	study          *fullRouter
	others, everyb []string // addresses of the other routers; of all other processes but runners
}

// courseTokens is how many pieces the stream of a course has, unless its run is shorter.
const courseTokens = 200

// course founds a fleet with second tries earned, and begins a stream of courseTokens pieces at 50 ms.
func course(t *testing.T, seed uint64, first time.Duration, pause func(int) time.Duration) *play {
	var all []*simRunner
	for range 4 {
		m := model(8, 50*time.Millisecond)
		m.pause = pause
		all = append(all, m)
	}
	p := &play{whole: newWhole(t, seed, 8, repeatLay(true), all...), o: &told{n: 1}}
	p.earn()
	p.owner = p.full[p.chance(8)]
	p.hear(p.owner, first)
	var gone *fullRouter
	gone, p.study = p.holders(p.o.id)
	if gone != p.owner || p.study == nil {
		t.Fatalf("carried by %v, standby %v", gone, p.study)
	}
	for _, r := range p.full {
		if r != p.owner {
			p.others = append(p.others, r.addr)
		}
		if r != p.owner && r != p.study {
			p.far = r
		}
	}
	p.everyb = append(append(p.everyb, p.others...), p.founders...)
	return p
}

// hear has the origin listen at a router for a while.
func (p *play) hear(r *fullRouter, d time.Duration) {
	req := httptest.NewRequestWithContext(p.ctx, "POST", "/ask", strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":"a","stream":true,"max_tokens":%d}`, courseTokens)))
	if p.o.id != "" {
		req = httptest.NewRequestWithContext(p.ctx, "GET", fmt.Sprintf("/v1/streams/%s?after=%d", p.o.id, len(p.o.pieces)), nil)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer demo-rich")
	req.Header.Set("X-N", "1")
	code, id, raw := p.listen(r, req, d)
	if code != 200 {
		return
	}
	if p.o.id == "" {
		p.o.id = id
	}
	p.o.take(raw)
}

// differFrom has runs differ from a piece on, counted from 1.
func (p *play) differFrom(n int) {
	for _, s := range p.runners {
		s.mu.Lock()
		s.differ = n
		s.mu.Unlock()
	}
}

// A replica that is cut off from a living router must not carry its stream on beside it.
func TestTwoCarriers(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := course(t, seed, time.Second, nil)
		p.differFrom(60)
		p.w.Split([]string{p.owner.addr}, []string{p.study.addr, p.far.addr})
		p.hear(p.owner, 7*time.Second)
		if len(p.o.pieces) < 100 {
			t.Errorf("the stream stands at %d pieces, though router and core reach each other", len(p.o.pieces))
		}
		p.hear(p.far, 20*time.Second)
		if bad := p.o.judge(); bad != "" {
			t.Errorf("the stream %s", bad)
		}
	})
}

// A router that was quiet while its replica took over learns of it before it shows another piece;
// the origin has the rest of the second run.
func TestLateCarrier(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var once sync.Once
		p := course(t, seed, time.Second, func(i int) (d time.Duration) {
			if i == 30 {
				once.Do(func() { d = 9 * time.Second })
			}
			return d
		})
		p.differFrom(31)
		p.hear(p.owner, 1200*time.Millisecond) // the 31st piece comes 9 s later, however slow the start was
		if len(p.o.pieces) != 30 {
			t.Fatalf("%d pieces before the pause", len(p.o.pieces))
		}
		p.w.Split([]string{p.owner.addr}, []string{p.study.addr, p.far.addr})
		done := make(chan bool)
		go func() { p.hear(p.owner, 11*time.Second); done <- true }()
		time.Sleep(7 * time.Second)
		p.w.Heal()
		p.w.Split([]string{p.owner.addr}, []string{p.far.addr})
		<-done
		p.hear(p.far, 20*time.Second)
		if bad := p.o.judge(); bad != "" || p.o.end != "done" {
			t.Errorf("the stream ended %q with %d pieces: %s", p.o.end, len(p.o.pieces), bad)
		}
	})
}

// A second run that comes to its end before it has repeated what was handed over is not the same run:
// its end is not the stream's.
func TestShorterRun(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := course(t, seed, time.Second, nil)
		heard := len(p.o.pieces) // fewer where the start was slow; the second run has 1 to 10 pieces less
		if heard <= 10 {
			t.Fatalf("%d pieces heard before the second run", heard)
		}
		for _, s := range p.runners {
			s.mu.Lock()
			s.odd, s.bare = courseTokens-heard+1+p.chance(10), true
			s.mu.Unlock()
		}
		for _, s := range p.seen() {
			if s.n == 1 {
				p.fell(s.addr)
			}
		}
		p.hear(p.far, 20*time.Second)
		if p.o.end != "run-differs" {
			t.Errorf("the stream ended %q with %d pieces, run-differs expected", p.o.end, len(p.o.pieces))
		}
	})
}

// No reader sees a piece that the replica does not hold, resumed at the router itself neither.
func TestShownIsHeld(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		p := course(t, seed, time.Second, nil)
		p.w.Split([]string{p.owner.addr}, p.everyb)
		n := 0
		for _, h := range p.study.now().Streams.List() {
			if h.RequestID == p.o.id {
				n = h.Chunks
			}
		}
		p.differFrom(n + 1)
		p.hear(p.owner, 350*time.Millisecond)
		if len(p.o.pieces) > n {
			t.Errorf("the origin saw %d pieces, the standby holds %d", len(p.o.pieces), n)
		}
		time.Sleep(5 * time.Second) // the replica finds its router gone
		p.hear(p.far, 20*time.Second)
		if bad := p.o.judge(); bad != "" || p.o.end != "done" {
			t.Errorf("the stream ended %q with %d pieces: %s", p.o.end, len(p.o.pieces), bad)
		}
	})
}

// A zone cut off serves streams on, on repeatable lanes too: those that begin during the cut end whole on
// both sides, those that run when it comes are told to nobody as joined or as whole before their end.
func TestCutStreams(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		var all []*simRunner
		for range 8 {
			m := model(16, 20*time.Millisecond)
			m.differ = int(seed%2) * (1 + int(seed*13%60))
			all = append(all, m)
		}
		w := newWhole(t, seed, 8, repeatLay(true), all...)
		w.earn()
		n := uint64(0)
		var wg sync.WaitGroup
		var mu sync.Mutex
		slow := map[string]time.Duration{}
		round := func(whole bool) {
			for i, r := range w.full {
				n++
				no := n
				wg.Go(func() {
					begun := time.Now()
					o := w.stream(i, no, "/ask", 100, never)
					if bad := o.judge(); bad != "" || o.end == "" {
						t.Errorf("a stream begun in zone %s ended %q: %s", r.zone, o.end, bad)
					}
					if whole && (o.end != "done" || o.asked != 1) {
						t.Errorf("a stream begun in zone %s ended %q with %d pieces after %d asks", r.zone, o.end, len(o.pieces), o.asked)
					}
					mu.Lock()
					defer mu.Unlock()
					if side := fmt.Sprint("inside ", r.zone == "east"); whole {
						slow[side] = max(slow[side], time.Since(begun))
					}
				})
			}
		}
		round(false)
		time.Sleep(time.Duration(w.chance(2000)) * time.Millisecond)
		w.w.Split(w.sides("east"))
		time.Sleep(7 * time.Second) // silent runners are found out
		round(true)
		time.Sleep(time.Duration(w.chance(9000)) * time.Millisecond)
		w.w.Heal()
		wg.Wait()
		t.Logf("slowest stream of 2 s: %v", slow)
	})
}
