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

// ConfigWrite is an operator's write of the config and its result.
type ConfigWrite struct {
	SentAt, AnsweredAt time.Time
	Code               int // HTTP status; 0 if the connection broke
	Version            uint64
	Hash               string // of the whole config that results if the write succeeds
}

// ConfigReading is the config that a router reported as the one that it applies.
type ConfigReading struct {
	Router     string
	SentAt     time.Time
	AnsweredAt time.Time
	Version    uint64
	Hash       string
	Stale      bool
}

// TryCount is a sample of the fleet's counters of first and second tries, by service.
type TryCount struct {
	At            time.Time
	First, Second map[string]float64
}

// Departure is a runner's announcement that it leaves, at the time when its heartbeat was acknowledged.
type Departure struct {
	Runner, RunID string
	At            time.Time
}

// PlannedStop is the stop of a router with SIGTERM, from the signal to the end of the process.
type PlannedStop struct {
	Router   string
	From, To time.Time
}

// KeyRevocation is a time in which a tenant had no key: from the acknowledgement of the write that removed its key until
// just before the write that restored it.
type KeyRevocation struct {
	Tenant   string
	From, To time.Time
}

// HardFault is a crash, a freeze or a lost disk. Every kind of request has to be served again soon after it.
type HardFault struct {
	Name string
	At   time.Time
}

// Partition is a time in which a zone was isolated from the others, until just before the link was restored.
type Partition struct {
	Zone     string
	From, To time.Time
}

// Evidence is everything that was observed of a fleet from outside.
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
	RouterZones    map[string]string // by router
	FinalConfig    *ConfigWrite      // as read back after the traffic
	TrafficEnd     time.Time
	Slack          time.Duration // added to the time limits of the promises for a slow machine
}

// Monitor collects evidence from the operator API and the metrics of the fleet's routers.
type Monitor struct {
	fleet    *Fleet
	mu       sync.Mutex
	evidence Evidence
	tries    TryCount
	counters map[string]float64
}

// NewMonitor returns a monitor without evidence.
func NewMonitor(f *Fleet) *Monitor {
	return &Monitor{fleet: f, tries: TryCount{First: map[string]float64{}, Second: map[string]float64{}}, counters: map[string]float64{}}
}

// Run polls every router until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	runloop.Run(ctx, nil, 200*time.Millisecond, func(struct{}) {}, func() {
		var reads sync.WaitGroup
		for _, r := range m.fleet.Routers {
			reads.Go(func() { m.readRouter(ctx, r) })
		}
		reads.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.tries.At = time.Now()
		m.evidence.TryCounts = append(m.evidence.TryCounts, TryCount{m.tries.At, maps.Clone(m.tries.First), maps.Clone(m.tries.Second)})
	})
}

// readRouter samples the config that a router applies and its counters of tries.
func (m *Monitor) readRouter(ctx context.Context, r *Proc) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sentAt := time.Now()
	code, body, err := m.fleet.CallOperatorAPI(ctx, "GET", r.OperatorAddr, "/v1/standing", nil, nil)
	if err != nil || code != 200 {
		return
	}
	reading := ConfigReading{Router: r.Name, SentAt: sentAt, AnsweredAt: time.Now(), Version: gjson.GetBytes(body, "node.sequence").Uint(),
		Hash: gjson.GetBytes(body, "layout_sha256").Str, Stale: gjson.GetBytes(body, "stale").Bool()}
	runID := gjson.GetBytes(body, "node.born").Raw
	_, body, err = m.fleet.CallOperatorAPI(ctx, "GET", r.OperatorAddr, "/metrics", nil, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	if reading.Hash != "" {
		m.evidence.ConfigReadings = append(m.evidence.ConfigReadings, reading)
	}
	if err != nil {
		return
	}
	for scanner := bufio.NewScanner(bytes.NewReader(body)); scanner.Scan(); {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		value, parseErr := strconv.ParseFloat(text, 64)
		if !ok || parseErr != nil || !strings.Contains(name, "service=") {
			continue
		}
		_, service, _ := strings.Cut(name, `service="`)
		service, _, _ = strings.Cut(service, `"`)
		key := r.Name + runID + name // the counters of a restarted router begin at zero
		increase := value - m.counters[key]
		m.counters[key] = value
		switch {
		case strings.HasPrefix(name, "yarrowridge_first_tries_total"):
			m.tries.First[service] += increase
		case strings.HasPrefix(name, "yarrowridge_second_tries_total") && strings.Contains(name, `let="yes"`):
			m.tries.Second[service] += increase
		}
	}
}

// record changes the evidence under the lock.
func (m *Monitor) record(add func(ev *Evidence)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(&m.evidence)
}

// Evidence returns the collected evidence with the clients' outcomes and the runners' request log.
func (m *Monitor) Evidence(l *Load) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	ev := m.evidence
	ev.RouterZones = map[string]string{}
	for _, r := range m.fleet.Routers {
		ev.RouterZones[r.Name] = r.Zone
	}
	ev.Mix, ev.Outcomes, ev.RunnerRequests = m.fleet.Mix, l.Outcomes(), m.fleet.RequestLog.All()
	return ev
}
