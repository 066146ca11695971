// Package runner is the peer "model runner" (and any ordinary back end that beats like one): what
// runners say of themselves, what we see of them, and the one place that sends them queries.
package runner

import (
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
	seats   []*Seat   // our queries on it
	prog    time.Time // last byte from it, or start of work after idling
	fails   int
	bar     time.Time // no new queries before
	trial   bool      // one query is out to see whether it serves again
	pace    pace
	far     node.Load // what other routers say they have sent
	farRate float64
	farBusy int // other routers that lately had streams on it
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
		e.pace.step(now, e.fill())
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
		l := node.Load{Streams: len(e.seats), Tokens: e.owed(), Rate: e.rate(e.most())}
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
		if time.Since(e.heard) > d && len(e.seats) == 0 {
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
	for _, s := range e.seats {
		if now.After(s.due) {
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
	return e.fill(), e.news.Room
}

// Roomy tells whether the runner has room for one more query of ours.
//
//	if e.Roomy() { ... }
func (e *Entry) Roomy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roomy()
}

// Owed is the output that the runner still has to give. Each stream counts once: our own by our own
// count, others' by their routers' news. more is what its late report says beyond that, less what it should have
// worked off since.
//
//	queued, more := e.Owed()
func (e *Entry) Owed() (queued, more float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promised(e.rate(e.fill()))
}

// promised is all in the unit of what was asked for; the rate is not.
func (e *Entry) promised(rate float64) (queued, more float64) {
	queued = float64(e.owed() + e.far.Tokens)
	if n := e.news; n.Room > 0 && n.Most > 0 && n.Queued > n.Room*n.Most {
		return queued, 0 // more than it can hold: not believed
	}
	return queued, max(0, float64(e.news.Queued)-time.Since(e.told).Seconds()*max(rate/e.pace.use.Share(), 1)-queued)
}

// Feed tells the output ahead of a newcomer on the runner, and its measured rate. A runner that batches
// gives what it owes beside the newcomer, not before it: with a place free nothing is ahead, with none what
// the first place to come free still has to give, which is all of it where one runs at a time. The rate is
// that of as many streams as will run: one more than now, or, where queries wait, all that it takes.
//
//	ahead, rate := e.Feed(true)
func (e *Entry) Feed(wait bool) (ahead, rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := e.most()
	if !wait {
		fill = min(fill, e.fill()+1)
	}
	if rate = e.rate(fill); rate == 0 {
		rate = e.farRate
	}
	queued, more := e.promised(rate)
	ahead = more
	if !e.roomy() {
		ahead += queued * 2 / float64(e.news.Room+1)
	}
	return ahead * e.pace.use.Share(), rate
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
	room, n := e.news.Room, e.fill()
	if room <= 0 {
		return true
	}
	part := (room + e.farBusy) / (1 + e.farBusy)
	return n < room && (len(e.seats) < part || 2*n < room)
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
