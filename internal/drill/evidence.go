package drill

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/env"
)

// Edit is one write of an operator, and what came of it.
type Edit struct {
	At, Told time.Time
	Code     int // 0: the connection broke
	Version  uint64
	Hash     string // of the whole config it would make
}

// Sight is one look at the config that a router obeys.
type Sight struct {
	Router  string
	At      time.Time // asked
	Told    time.Time // answered
	Version uint64
	Hash    string
	Stale   bool
}

// Count is the fleet's tries so far, by service, at one moment.
type Count struct {
	At           time.Time
	First, Again map[string]float64
}

// Word is a runner's word that it leaves, as its heartbeat was answered.
type Word struct {
	Runner, Born string
	At           time.Time
}

// Stop is a planned stop of a router, from its warning to its end.
type Stop struct {
	Router   string
	From, To time.Time
}

// Gone is a tenant without a key, from the write's acknowledgement to the next that gives it one.
type Gone struct {
	Tenant   string
	From, To time.Time
}

// Hard is a hard fault, and the kinds of request that have to be served again after it.
type Hard struct {
	Name string
	At   time.Time
}

// Cut is a zone's link cut, from its cut to its healing.
type Cut struct {
	Zone     string
	From, To time.Time
}

// Evidence is all that was seen of a fleet from outside.
type Evidence struct {
	Mix    Mix
	Outs   []Outcome
	Seen   []Seen
	Edits  []Edit
	Sights []Sight
	Counts []Count
	Words  []Word
	Stops  []Stop
	Gone   []Gone
	Hards  []Hard
	Cuts   []Cut
	Zones  map[string]string // each router's
	Final  *Edit             // what was read back at the end
	End    time.Time         // of the traffic
	Slack  time.Duration     // what a slow machine is given beyond a promise's time
}

// Watch gathers what the fleet's processes tell of themselves.
type Watch struct {
	f    *Fleet
	mu   sync.Mutex
	ev   Evidence
	sum  Count
	last map[string]float64
}

// NewWatch begins with nothing seen.
//
//	w := drill.NewWatch(fleet)
func NewWatch(f *Fleet) *Watch {
	return &Watch{f: f, sum: Count{First: map[string]float64{}, Again: map[string]float64{}}, last: map[string]float64{}}
}

// Run looks at every router, again and again, until ctx ends.
//
//	go w.Run(ctx)
func (w *Watch) Run(ctx context.Context) {
	env.Loop(ctx, nil, 200*time.Millisecond, func(struct{}) {}, func() {
		var all sync.WaitGroup
		for _, r := range w.f.Routers {
			all.Go(func() { w.look(ctx, r) })
		}
		all.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.sum.At = time.Now()
		w.ev.Counts = append(w.ev.Counts, Count{w.sum.At, maps.Clone(w.sum.First), maps.Clone(w.sum.Again)})
	})
}

func (w *Watch) look(ctx context.Context, r *Proc) {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	at := time.Now()
	code, raw, err := w.f.Ask(ctx, "GET", r.Operator, "/v1/standing", nil, nil)
	if err != nil || code != 200 {
		return
	}
	s := Sight{Router: r.Name, At: at, Told: time.Now(), Version: gjson.GetBytes(raw, "node.sequence").Uint(),
		Hash: gjson.GetBytes(raw, "layout_sha256").Str, Stale: gjson.GetBytes(raw, "stale").Bool()}
	born := gjson.GetBytes(raw, "node.born").Raw
	_, raw, err = w.f.Ask(ctx, "GET", r.Operator, "/metrics", nil, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Hash != "" {
		w.ev.Sights = append(w.ev.Sights, s)
	}
	if err != nil {
		return
	}
	for sc := bufio.NewScanner(bytes.NewReader(raw)); sc.Scan(); {
		name, val, ok := strings.Cut(sc.Text(), " ")
		v, e := strconv.ParseFloat(val, 64)
		if !ok || e != nil || !strings.Contains(name, "service=") {
			continue
		}
		_, svc, _ := strings.Cut(name, `service="`)
		svc, _, _ = strings.Cut(svc, `"`)
		key := r.Name + born + name // a router that starts again counts from zero
		d := v - w.last[key]
		w.last[key] = v
		switch {
		case strings.HasPrefix(name, "yarrowridge_first_tries_total"):
			w.sum.First[svc] += d
		case strings.HasPrefix(name, "yarrowridge_second_tries_total") && strings.Contains(name, `let="yes"`):
			w.sum.Again[svc] += d
		}
	}
}

// note adds to the evidence.
func (w *Watch) note(do func(ev *Evidence)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(&w.ev)
}

// Evidence is all that was seen, with the clients' outcomes and the runners' diaries.
//
//	bad := drill.Check(w.Evidence(load))
func (w *Watch) Evidence(l *Load) Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	ev := w.ev
	ev.Zones = map[string]string{}
	for _, r := range w.f.Routers {
		ev.Zones[r.Name] = r.Zone
	}
	ev.Mix, ev.Outs, ev.Seen = w.f.Mix, l.All(), w.f.RequestLog.All()
	return ev
}
