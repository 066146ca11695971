package drill

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/fleetconfig"
)

// Day plays a deployment's day in a short time: its traffic, its operators' writes and a course of faults that ends with
// a closing fault, after which the config is read back.
type Day struct {
	fleet      *Fleet
	load       *Load
	monitor    *Monitor
	out        io.Writer
	random     *rand.Rand
	lastNumber int
	config     object // of the mix; each write adds a number to it
	err        error
	requests   sync.WaitGroup // that faults send, in addition to the load
	slack      time.Duration  // added to the time limits of the promises for a slow machine
}

// NewDay returns a day on a running fleet.
func NewDay(f *Fleet, l *Load, seed uint64, out io.Writer) *Day {
	d := &Day{fleet: f, load: l, monitor: NewMonitor(f), out: out, random: rand.New(rand.NewPCG(seed, 12)), config: maps.Clone(f.Mix.Config)}
	d.monitor.record(func(ev *Evidence) {
		ev.ConfigWrites = append(ev.ConfigWrites, ConfigWrite{SentAt: time.Now(), AnsweredAt: time.Now(), Code: 200, Version: 1, Hash: fleetconfig.HashKey(string(f.Mix.ConfigJSON()))})
	})
	return d
}

// Run plays the course under traffic, reads the config back and returns the evidence.
func (d *Day) Run(ctx context.Context, course []string, slack time.Duration) (Evidence, error) {
	d.slack = slack
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var traffic sync.WaitGroup
	traffic.Go(func() { d.load.Run(trafficCtx) })
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	var monitoring sync.WaitGroup
	monitoring.Go(func() { d.monitor.Run(monitorCtx) })
	d.waitReady(ctx, "the day begins")
	for _, name := range course {
		chosen := findEvent(events, name)
		if closing, ok := strings.CutPrefix(name, closingPrefix); ok {
			chosen = findEvent(closings, closing)
		}
		printf(d.out, "  %s: %s\n", name, chosen.description)
		chosen.run(d, ctx)
		d.waitReady(ctx, "all is well after "+name)
		if d.err != nil {
			break
		}
	}
	runloop.Sleep(ctx, time.Second)
	stopTraffic()
	traffic.Wait()
	d.requests.Wait()
	trafficEnd := time.Now()
	var readBack ConfigWrite
	readCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	err := d.fleet.WaitUntil(readCtx, "the layout is read back", func() bool {
		code, raw, err := d.fleet.CallOperatorAPI(ctx, "GET", d.pickRouter().OperatorAddr, "/v1/layout", nil, nil)
		if err != nil || code != 200 {
			return false
		}
		readBack.Hash = fleetconfig.HashKey(string(raw))
		_, raw, _ = d.fleet.CallOperatorAPI(ctx, "GET", d.pickRouter().OperatorAddr, "/v1/fleet", nil, nil)
		readBack.Version = gjson.GetBytes(raw, "sequence").Uint()
		return readBack.Version > 0
	})
	stopMonitor()
	monitoring.Wait()
	evidence := d.monitor.Evidence(d.load)
	evidence.TrafficEnd, evidence.Slack, evidence.FinalConfig = trafficEnd, slack, &readBack // version 0 if nothing could be read back
	if d.err != nil {
		err = d.err
	}
	return evidence, err
}

func (d *Day) pickRouter() *Proc { return d.fleet.Routers[d.random.IntN(len(d.fleet.Routers))] }

// waitUntil waits up to limit for a condition that the day needs to go on. The first wait that times out ends the day
// early, because requests would only pile up in a fleet that does not recover.
func (d *Day) waitUntil(ctx context.Context, limit time.Duration, what string, condition func() bool) {
	if d.err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.err = d.fleet.WaitUntil(ctx, what, condition)
}

// recoveryLimit is how long a fleet may take to recover from an event.
const recoveryLimit = 30 * time.Second

// waitReady waits until every router is ready and knows every runner, each kind of request has been served since the
// call, and there is a primary.
func (d *Day) waitReady(ctx context.Context, what string) {
	from := time.Now()
	d.waitUntil(ctx, recoveryLimit, what, func() bool {
		for _, router := range d.fleet.Routers {
			if !d.fleet.IsReady(ctx, router) || d.fleet.CountReadyRunners(ctx, router) < len(d.fleet.ModelRunners)+len(d.fleet.AppRunners) {
				return false
			}
		}
		outcomes := d.load.Outcomes()
		for _, k := range d.fleet.Mix.Kinds {
			if !servedSince(outcomes, k.Name, from) {
				return false
			}
		}
		return d.fleet.Primary(ctx) != nil
	})
}

// servedSince reports whether a request of a kind that started after a time got a complete answer.
func servedSince(outcomes []Outcome, kind string, from time.Time) bool {
	for _, o := range outcomes {
		if o.Kind == kind && o.succeeded() && o.StartedAt.After(from) {
			return true
		}
	}
	return false
}
