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

// Day is a deployment's day, compressed: its traffic, its operators, and a course of faults that ends
// with a closing one, after which all is read back.
type Day struct {
	fleet    *Fleet
	load     *Load
	watch    *Watch
	out      io.Writer
	random   *rand.Rand
	marks    int
	config   object // as last acknowledged
	err      error
	requests sync.WaitGroup // requests of the day's own, beside the load
	slack    time.Duration  // what a slow machine is given beyond a promise's time
}

// NewDay makes a day over a fleet that is up.
func NewDay(f *Fleet, l *Load, seed uint64, out io.Writer) *Day {
	d := &Day{fleet: f, load: l, watch: NewWatch(f), out: out, random: rand.New(rand.NewPCG(seed, 12)), config: maps.Clone(f.Mix.Config)}
	d.watch.note(func(ev *Evidence) {
		ev.ConfigWrites = append(ev.ConfigWrites, ConfigWrite{SentAt: time.Now(), AnsweredAt: time.Now(), Code: 200, Version: 1, Hash: fleetconfig.HashKey(string(f.Mix.Raw()))})
	})
	return d
}

// Run plays the course under traffic, reads all back and gives the evidence.
func (d *Day) Run(ctx context.Context, names []string, slack time.Duration) (Evidence, error) {
	d.slack = slack
	run, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { d.load.Run(run) })
	look, blind := context.WithCancel(ctx)
	var eyes sync.WaitGroup
	eyes.Go(func() { d.watch.Run(look) })
	d.waitReady(ctx, "the day begins")
	for _, n := range names {
		e := findEvent(events, n)
		if c, ok := strings.CutPrefix(n, closingPrefix); ok {
			e = findEvent(closings, c)
		}
		printf(d.out, "  %s: %s\n", n, e.what)
		e.do(d, ctx)
		d.waitReady(ctx, "all is well after "+n)
		if d.err != nil {
			break
		}
	}
	runloop.Sleep(ctx, time.Second)
	stop()
	all.Wait()
	d.requests.Wait()
	end := time.Now()
	var last ConfigWrite
	near, far := context.WithTimeout(ctx, 20*time.Second)
	defer far()
	err := d.fleet.Until(near, "the layout is read back", func() bool {
		code, raw, err := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/layout", nil, nil)
		if err != nil || code != 200 {
			return false
		}
		last.Hash = fleetconfig.HashKey(string(raw))
		_, raw, _ = d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/fleet", nil, nil)
		last.Version = gjson.GetBytes(raw, "sequence").Uint()
		return last.Version > 0
	})
	blind()
	eyes.Wait()
	ev := d.watch.Evidence(d.load)
	ev.End, ev.Slack, ev.Final = end, slack, &last // version 0 where nothing could be read back
	if d.err != nil {
		err = d.err
	}
	return ev, err
}

func (d *Day) pickRouter() *Proc { return d.fleet.Routers[d.random.IntN(len(d.fleet.Routers))] }

// waitUntil waits for what the day needs to go on, for so long at the most. The first wait in vain cuts the day
// short: traffic that runs on over a fleet which never comes to rest only piles up.
func (d *Day) waitUntil(ctx context.Context, limit time.Duration, what string, ok func() bool) {
	if d.err != nil {
		return
	}
	ctx, end := context.WithTimeout(ctx, limit)
	defer end()
	d.err = d.fleet.Until(ctx, what, ok)
}

// restLimit is how long a fleet may take to come to rest after an event.
const restLimit = 30 * time.Second

// waitReady waits until every process is ready, every runner known and each kind of request served again.
func (d *Day) waitReady(ctx context.Context, what string) {
	from := time.Now()
	d.waitUntil(ctx, restLimit, what, func() bool {
		for _, r := range d.fleet.Routers {
			if !d.fleet.Ready(ctx, r) || d.fleet.Serving(ctx, r) < len(d.fleet.Models)+len(d.fleet.Apps) {
				return false
			}
		}
		outcomes := d.load.All()
		for _, k := range d.fleet.Mix.Kinds {
			if !servedSince(outcomes, k.Name, from) {
				return false
			}
		}
		return d.fleet.Primary(ctx) != nil
	})
}

// servedSince reports whether a request of a kind that began after a moment has come to a whole answer.
func servedSince(outcomes []Outcome, kind string, from time.Time) bool {
	for _, o := range outcomes {
		if o.Kind == kind && o.served() && o.Begun.After(from) {
			return true
		}
	}
	return false
}
