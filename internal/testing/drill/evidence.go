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

	"yarrowridge/internal/lib/runloop"
)

// ConfigWrite is one write of an operator, and what came of it.
type ConfigWrite struct {
	SentAt, AnsweredAt time.Time
	Code               int // 0: the connection broke
	Version            uint64
	Hash               string // of the whole config it would make
}

// ConfigReading is one look at the config that a router obeys.
type ConfigReading struct {
	Router     string
	SentAt     time.Time
	AnsweredAt time.Time
	Version    uint64
	Hash       string
	Stale      bool
}

// TryCount is the fleet's tries so far, by service, at one moment.
type TryCount struct {
	At            time.Time
	First, Second map[string]float64
}

// Departure is a runner's word that it leaves, as its heartbeat was answered.
type Departure struct {
	Runner, RunID string
	At            time.Time
}

// PlannedStop is a planned stop of a router, from its warning to its end.
type PlannedStop struct {
	Router   string
	From, To time.Time
}

// KeyRevocation is a tenant without a key, from the write's acknowledgement to the next that gives it one.
type KeyRevocation struct {
	Tenant   string
	From, To time.Time
}

// HardFault is a hard fault, and the kinds of request that have to be served again after it.
type HardFault struct {
	Name string
	At   time.Time
}

// Partition is a zone's link cut, from its cut to its healing.
type Partition struct {
	Zone     string
	From, To time.Time
}

// Evidence is all that was seen of a fleet from outside.
type Evidence struct {
	Mix            Mix
	Outcomes       []Outcome
	RunnerRequests []RunnerRequest
	ConfigWrites   []ConfigWrite
	ConfigReadings []ConfigReading
	TryCounts      []TryCount
	Departures     []Departure
	PlannedStops   []PlannedStop
	KeyRevocations []KeyRevocation
	HardFaults     []HardFault
	Partitions     []Partition
	RouterZones    map[string]string // each router's
	FinalConfig    *ConfigWrite      // what was read back at the end
	TrafficEnd     time.Time         // of the traffic
	Slack          time.Duration     // what a slow machine is given beyond a promise's time
}

// Monitor gathers what the fleet's processes tell of themselves.
type Monitor struct {
	fleet    *Fleet
	mu       sync.Mutex
	evidence Evidence
	tries    TryCount
	counters map[string]float64
}

// NewMonitor begins with nothing seen.
func NewMonitor(f *Fleet) *Monitor {
	return &Monitor{fleet: f, tries: TryCount{First: map[string]float64{}, Second: map[string]float64{}}, counters: map[string]float64{}}
}

// Run looks at every router, again and again, until ctx ends.
func (w *Monitor) Run(ctx context.Context) {
	runloop.Run(ctx, nil, 200*time.Millisecond, func(struct{}) {}, func() {
		var all sync.WaitGroup
		for _, r := range w.fleet.Routers {
			all.Go(func() { w.readRouter(ctx, r) })
		}
		all.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.tries.At = time.Now()
		w.evidence.TryCounts = append(w.evidence.TryCounts, TryCount{w.tries.At, maps.Clone(w.tries.First), maps.Clone(w.tries.Second)})
	})
}

func (w *Monitor) readRouter(ctx context.Context, r *Proc) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sentAt := time.Now()
	code, raw, err := w.fleet.CallOperatorAPI(ctx, "GET", r.OperatorAddr, "/v1/standing", nil, nil)
	if err != nil || code != 200 {
		return
	}
	reading := ConfigReading{Router: r.Name, SentAt: sentAt, AnsweredAt: time.Now(), Version: gjson.GetBytes(raw, "node.sequence").Uint(),
		Hash: gjson.GetBytes(raw, "layout_sha256").Str, Stale: gjson.GetBytes(raw, "stale").Bool()}
	runID := gjson.GetBytes(raw, "node.born").Raw
	_, raw, err = w.fleet.CallOperatorAPI(ctx, "GET", r.OperatorAddr, "/metrics", nil, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if reading.Hash != "" {
		w.evidence.ConfigReadings = append(w.evidence.ConfigReadings, reading)
	}
	if err != nil {
		return
	}
	for scanner := bufio.NewScanner(bytes.NewReader(raw)); scanner.Scan(); {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		value, parseErr := strconv.ParseFloat(text, 64)
		if !ok || parseErr != nil || !strings.Contains(name, "service=") {
			continue
		}
		_, service, _ := strings.Cut(name, `service="`)
		service, _, _ = strings.Cut(service, `"`)
		key := r.Name + runID + name // a router that starts again counts from zero
		increase := value - w.counters[key]
		w.counters[key] = value
		switch {
		case strings.HasPrefix(name, "yarrowridge_first_tries_total"):
			w.tries.First[service] += increase
		case strings.HasPrefix(name, "yarrowridge_second_tries_total") && strings.Contains(name, `let="yes"`):
			w.tries.Second[service] += increase
		}
	}
}

// record adds to the evidence.
func (w *Monitor) record(add func(ev *Evidence)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add(&w.evidence)
}

// Evidence is all that was seen, with the clients' outcomes and the runners' request logs.
func (w *Monitor) Evidence(l *Load) Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	ev := w.evidence
	ev.RouterZones = map[string]string{}
	for _, r := range w.fleet.Routers {
		ev.RouterZones[r.Name] = r.Zone
	}
	ev.Mix, ev.Outcomes, ev.RunnerRequests = w.fleet.Mix, l.Outcomes(), w.fleet.RequestLog.All()
	return ev
}
