// Package runner is the peer "model runner" (and any ordinary back end that beats like one): what
// runners say of themselves, what we see of them, and the one place that sends them queries.
package runner

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/layout"
	"yarrowridge/internal/node"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/strike"
)

// What decides a runner's standing.
const (
	Mute    = 5 * time.Second  // no beat for so long: silent
	Stuck   = 10 * time.Second // queries under way and no byte for so long: stuck
	barLow  = time.Second
	barHigh = 16 * time.Second
	busyFor = 2 * time.Second // a router that had streams on a runner so lately counts as using it
	workOld = 3 * time.Second // a router's news of its work older than this is left out
)

// Entry is one run of one runner, with what this router has sent to it.
type Entry struct {
	Idx  int
	Addr string
	gen  uint64

	mu      sync.Mutex
	news    News
	heard   time.Time
	told    time.Time // last late report
	gone    bool
	streams int
	tokens  int
	dues    []time.Time // by when each query under way should have sent something
	prog    time.Time   // last byte from it, or start of work after idling
	fails   int
	bar     time.Time // no new queries before
	trial   bool      // one query is out to see whether it serves again
	done    int       // completed streams
	meter   meter
	far     node.Load // what other routers say they have sent
	farRate float64
	farBusy int // other routers that lately had streams on it
}

// meter measures a runner's whole output a second from our own streams: tokens over busy time,
// scaled by how many of the runner's streams were ours.
type meter struct {
	at                       time.Time
	tokens, busy, mine, all_ float64
}

func (m *meter) step(now time.Time, own, far int) {
	if own > 0 && !m.at.IsZero() {
		d := now.Sub(m.at).Seconds()
		m.busy += d
		m.mine += float64(own) * d
		m.all_ += float64(own+far) * d
		if m.busy > 30 { // older half fades
			m.tokens, m.busy, m.mine, m.all_ = m.tokens/2, m.busy/2, m.mine/2, m.all_/2
		}
	}
	m.at = now
}

func (m *meter) rate() float64 {
	if m.busy <= 0 || m.mine <= 0 {
		return 0
	}
	return m.tokens / m.busy * m.all_ / m.mine
}

// Yard is all runners known to this router.
type Yard struct {
	me   string // this router's name
	mu   sync.RWMutex
	all  []*Entry
	by   map[string]*Entry
	work map[string]farWork
	busy map[[2]string]time.Time // router and runner: when streams were last told of
	wake func()
}

type farWork struct {
	work node.Work
	at   time.Time
}

// NewYard makes the empty yard of a router; wake is called when a runner may have become free.
//
//	y := runner.NewYard("north1", desk.Wake)
func NewYard(me string, wake func()) *Yard {
	return &Yard{me: me, by: map[string]*Entry{}, work: map[string]farWork{}, busy: map[[2]string]time.Time{}, wake: wake}
}

// The heads of the keys under which runners and routers' work stand on the board.
const (
	KeyHead  = "runner/"
	WorkHead = "work/"
)

// See takes a record of news.
//
//	hub := node.NewHub(ctx, addr, face, seeds, yard.See)
func (y *Yard) See(r relay.Rec) {
	switch {
	case strings.HasPrefix(r.Key, KeyHead):
		var n News
		if _, err := n.UnmarshalMsg(r.Body); err != nil {
			return
		}
		if strike.Out("leaving") && n.State == "leaving" {
			n.State = "ready"
		}
		y.mu.Lock()
		e := y.by[n.Addr]
		if e == nil || e.gen != r.Gen {
			// Another run at a known address is another runner: nothing of the old counts for it.
			if e != nil {
				e.mu.Lock()
				e.gone = true
				e.mu.Unlock()
			}
			e = &Entry{Idx: len(y.all), Addr: n.Addr, gen: r.Gen}
			y.all = append(y.all, e)
			y.by[n.Addr] = e
		}
		y.mu.Unlock()
		e.mu.Lock()
		e.news, e.heard, e.told = n, time.Now(), time.Now()
		e.mu.Unlock()
		y.wake()
	case r.Key == WorkHead+y.me: // our own word, come round: we know better
	case strings.HasPrefix(r.Key, WorkHead):
		var w node.Work
		if _, err := w.UnmarshalMsg(r.Body); err != nil {
			return
		}
		y.mu.Lock()
		y.work[strings.TrimPrefix(r.Key, WorkHead)] = farWork{w, time.Now()}
		y.mu.Unlock()
		y.Tally()
	}
}

// Tally sums up anew what the other routers have sent, leaving out those not heard of lately.
//
//	yard.Tally()
func (y *Yard) Tally() {
	y.mu.Lock()
	sum := map[string]node.Load{}
	rate := map[string]float64{}
	n, busy := map[string]int{}, map[string]int{}
	for k, w := range y.work {
		if time.Since(w.at) > workOld {
			delete(y.work, k)
			continue
		}
		for a, l := range w.work.Runners {
			s := sum[a]
			s.Streams += l.Streams
			s.Tokens += l.Tokens
			sum[a] = s
			if l.Streams > 0 {
				y.busy[[2]string{k, a}] = w.at
			}
			if l.Rate > 0 {
				rate[a] += l.Rate
				n[a]++
			}
		}
	}
	for k, at := range y.busy {
		if time.Since(at) > busyFor {
			delete(y.busy, k)
		} else {
			busy[k[1]]++
		}
	}
	all := make([]*Entry, 0, len(y.by))
	for _, e := range y.by {
		all = append(all, e)
	}
	y.mu.Unlock()
	now := time.Now()
	for _, e := range all {
		e.mu.Lock()
		e.meter.step(now, e.streams, e.far.Streams)
		e.far, e.farBusy = sum[e.Addr], busy[e.Addr]
		e.farRate = 0
		if n[e.Addr] > 0 {
			e.farRate = rate[e.Addr] / float64(n[e.Addr])
		}
		e.mu.Unlock()
	}
}

// Waiting is what other routers hold in their queues for a kind of work, in output tokens, and how
// many of them hold any.
//
//	sum, routers := yard.Waiting("fit/lumen")
func (y *Yard) Waiting(kind string) (sum, routers int) {
	y.mu.RLock()
	defer y.mu.RUnlock()
	for _, w := range y.work {
		if n := w.work.Queued[kind]; n > 0 && time.Since(w.at) <= workOld {
			sum += n
			routers++
		}
	}
	return sum, routers
}

// Own tells our own work, for the other routers.
//
//	w := yard.Own()
func (y *Yard) Own() node.Work {
	w := node.Work{Runners: map[string]node.Load{}, Queued: map[string]int{}}
	for _, e := range y.List() {
		e.mu.Lock()
		l := node.Load{Streams: e.streams, Tokens: e.tokens}
		if e.done > 0 {
			l.Rate = e.meter.rate()
		}
		e.mu.Unlock()
		if l.Streams > 0 || l.Rate > 0 {
			w.Runners[e.Addr] = l
		}
	}
	return w
}

// List gives all runs that are not known to be gone, in a steady order.
//
//	for _, e := range yard.List() { ... }
func (y *Yard) List() []*Entry {
	y.mu.RLock()
	out := make([]*Entry, 0, len(y.by))
	for _, e := range y.by {
		out = append(out, e)
	}
	y.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Idx < out[j].Idx })
	return out
}

// Forget drops runners that have been silent for long.
//
//	yard.Forget(time.Minute)
func (y *Yard) Forget(d time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for a, e := range y.by {
		e.mu.Lock()
		if time.Since(e.heard) > d && e.streams == 0 {
			e.gone = true
			delete(y.by, a)
		}
		e.mu.Unlock()
	}
}

// News is what the runner last said.
//
//	n := e.News()
func (e *Entry) News() News {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.news
}

// Standing tells whether the runner may get new queries, and if not why.
//
//	if why := e.Standing(); why != "" { ... }
func (e *Entry) Standing() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.standing(time.Now())
}

func (e *Entry) standing(now time.Time) string {
	switch {
	case e.gone:
		return "replaced"
	case e.news.State != "ready":
		return e.news.State
	case now.Sub(e.heard) > Mute:
		return "silent"
	case now.Sub(e.prog) > Stuck && e.late(now):
		return "stuck"
	case now.Before(e.bar):
		return "failing"
	case e.fails > 0 && e.trial:
		return "on trial"
	}
	return ""
}

// late tells whether a query under way should have sent something by now. A whole answer says
// nothing until it is finished, so its time is that of the length asked for.
func (e *Entry) late(now time.Time) bool {
	for _, d := range e.dues {
		if now.After(d) {
			return true
		}
	}
	return false
}

// Serves tells whether the runner is of the kind asked for, whatever its standing.
//
//	if e.Serves(pool, "lumen", 512) { ... }
func (e *Entry) Serves(sel layout.Selector, model string, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model != "" && e.news.Labels["model"] != model {
		return false
	}
	return (e.news.Most == 0 || tokens <= e.news.Most) && sel.Match(e.news.Labels)
}

// Load is how many streams are on the runner by all accounts, and how many it takes.
//
//	n, room := e.Load()
func (e *Entry) Load() (n, room int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams + e.far.Streams, e.news.Room
}

// Roomy tells whether the runner has room for one more query of ours.
//
//	if e.Roomy() { ... }
func (e *Entry) Roomy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roomy()
}

// Feed tells the output ahead on the runner and its measured rate. Each stream counts once: our
// own by our own count, others' by their routers' news. The runner's late report, less what it
// should have worked off since, only raises the sum where the news know too little.
//
//	queued, rate := e.Feed()
func (e *Entry) Feed() (queued, rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done > 0 {
		e.meter.step(time.Now(), e.streams, e.far.Streams)
		rate = e.meter.rate()
	}
	if rate == 0 {
		rate = e.farRate
	}
	queued = float64(e.tokens + e.far.Tokens)
	if n := e.news; n.Room > 0 && n.Most > 0 && n.Queued > n.Room*n.Most {
		return queued, rate // more than it can hold: not believed
	}
	late := float64(e.news.Queued) - time.Since(e.told).Seconds()*max(rate, 1)
	return max(queued, late), rate
}

// Hall is where the runner stands.
//
//	if e.Hall() == mine { ... }
func (e *Entry) Hall() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.news.Hall
}

// roomy tells whether there is room for one more of our streams. News of the others' streams is
// late, so routers that fill a runner together would overfill it: near its limit each keeps to
// an equal part.
func (e *Entry) roomy() bool {
	room, n := e.news.Room, e.streams+e.far.Streams
	if room <= 0 {
		return true
	}
	part := (room + e.farBusy) / (1 + e.farBusy)
	return n < room && (e.streams < part || 2*n < room)
}

// Seat takes a place on the runner for one query, if it may have one now. quiet is how long its
// answer takes before anything of it is sent: zero for one that comes piece by piece.
//
//	if due, ok := e.Seat(512, 0); ok { defer e.Leave(512, false, due) }
func (e *Entry) Seat(tokens int, quiet time.Duration) (due time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.standing(now) != "" || !e.roomy() {
		return due, false
	}
	if e.fails > 0 {
		e.trial = true
	}
	e.meter.step(now, e.streams, e.far.Streams)
	if e.streams == 0 {
		e.prog = now
	}
	e.streams++
	e.tokens += tokens
	due = now.Add(Stuck + quiet)
	e.dues = append(e.dues, due)
	return due, true
}

// Token notes output that has come for one query, and how much of its promise that settles.
//
//	e.Token(1, 1)
func (e *Entry) Token(n, settle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.meter.step(now, e.streams, e.far.Streams)
	e.meter.tokens += float64(n)
	e.tokens = max(0, e.tokens-settle)
	e.prog = now
}

// Leave ends a query's place: rest is what was promised and has not come, ok whether the runner
// answered in full, due what Seat gave.
//
//	e.Leave(412, true, due)
func (e *Entry) Leave(rest int, ok bool, due time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.meter.step(now, e.streams, e.far.Streams)
	e.streams--
	if i := slices.Index(e.dues, due); i >= 0 {
		e.dues = slices.Delete(e.dues, i, i+1)
	}
	e.tokens = max(0, e.tokens-rest)
	e.trial = false
	if ok {
		e.done++
		e.fails = 0
		e.prog = now
		return
	}
}

// Fail notes trouble of the runner's making: it gets no new queries for a while, longer each time.
//
//	e.Fail()
func (e *Entry) Fail() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fails++
	d := min(barHigh, barLow<<min(e.fails-1, 10))
	e.bar = time.Now().Add(d)
}
