package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/fleetconfig"
	"yarrowridge/internal/routing"
	"yarrowridge/internal/wire"
)

// CoreProcess is a real core that the run watches.
type CoreProcess struct {
	Name    string
	Address string // between processes
	PID     func() int
	Traffic func(ctx context.Context) (map[string]wire.Traffic, error)
	Kill    func()
}

// Settings are the size of a run.
type Settings struct {
	Routers, Runners, Zones int
	Tenants, Models         int           // in the configuration
	Phase                   time.Duration // length of each phase
	Heartbeat               time.Duration // between two of a runner
	Draws                   int           // quota moves a second, over all routers
	DrawTenants             int           // tenants of which every router holds units
}

// configurationEvery and drainEvery are how often the phases of that name make a change.
const (
	configurationEvery = time.Second
	drainEvery         = 500 * time.Millisecond
	startWait          = 60 * time.Second // a fleet is ready, and a change known everywhere, within this
	settleWait         = 10 * time.Second // beyond a phase's length, for a new primary to hear every runner
)

// Spread is how long changes took to be known by all routers, from when they were asked for.
type Spread struct {
	Acknowledged []time.Duration // until the answer
	Last         []time.Duration // until the last router knew
	All          []time.Duration // of every router and change
}

// Result is what one run saw.
type Result struct {
	Settings           Settings
	ConfigurationBytes int
	Parse              time.Duration // of reading the configuration once
	Phases             []Phase
	Configurations     Spread
	Drains             Spread
	Takeover           Takeover
	CallsFailed        int64 // that got no good answer, outside the takeover
}

// run is one run under way.
type run struct {
	settings Settings
	cores    []CoreProcess
	fleet    *hollowFleet
	raw      []byte
	result   *Result
	progress io.Writer
}

// Run starts a hollow fleet against cores that are up, and measures it in phases. Everything it starts ends with it.
// With an error the result holds the phases that ended before; nil: there are none.
//
//	result, err := scale.Run(ctx, settings, cores, os.Stderr)
func Run(ctx context.Context, settings Settings, cores []CoreProcess, progress io.Writer) (*Result, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	raw, err := configuration(settings.Tenants, settings.Models)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, c := range cores {
		seeds = append(seeds, c.Address)
	}
	fleet, err := newHollowFleet(ctx, settings.Routers, settings.Zones, seeds)
	if err != nil {
		return nil, err
	}
	r := &run{settings: settings, cores: cores, fleet: fleet, raw: raw, progress: progress,
		result: &Result{Settings: settings, ConfigurationBytes: len(raw), Parse: timeParse(raw)}}
	for _, step := range []func(context.Context) error{r.begin, r.quiet, r.heartbeats, r.draws, r.configurations, r.drains, r.takeover} {
		if err := step(ctx); err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

// timeParse is how long one reading of the configuration takes: the shortest of a few.
func timeParse(raw []byte) time.Duration {
	shortest := time.Hour
	for range 5 {
		begun := time.Now()
		fleetconfig.Parse(raw)
		shortest = min(shortest, time.Since(begun))
	}
	return shortest
}

// until waits until something holds, looking every two milliseconds.
func until(ctx context.Context, what string, holds func() bool) error {
	ctx, end := context.WithTimeout(ctx, startWait)
	defer end()
	for !holds() {
		if !env.Wait(ctx, 2*time.Millisecond) {
			return fmt.Errorf("scale: gave up waiting until %s", what)
		}
	}
	return nil
}

// every tells whether something holds for all routers.
func (r *run) every(holds func(*hollowRouter) bool) bool {
	return !slices.ContainsFunc(r.fleet.routers, func(router *hollowRouter) bool { return !holds(router) })
}

// begin puts the first configuration and waits until every router has it and knows every other.
func (r *run) begin(ctx context.Context) error {
	one, end := context.WithTimeout(ctx, startWait)
	defer end()
	if _, err := r.fleet.put(one, r.raw); err != nil {
		return err
	}
	return until(ctx, "every router is ready and knows every other", func() bool {
		return r.every(func(router *hollowRouter) bool {
			return router.hub.Servable() == "" && len(router.hub.Nodes()) == r.settings.Routers
		})
	})
}

// quiet measures routers alone.
func (r *run) quiet(ctx context.Context) error {
	return r.phase(ctx, "quiet", func(ctx context.Context) error { return nil })
}

// heartbeats adds the runners, which stay on.
func (r *run) heartbeats(ctx context.Context) error {
	r.fleet.startRunners(ctx, r.settings.Runners, r.settings.Zones, r.settings.Models, r.settings.Heartbeat)
	if err := until(ctx, "every router knows every runner", func() bool { return r.missing() == 0 }); err != nil {
		return err
	}
	return r.phase(ctx, "heartbeats", func(context.Context) error { return nil })
}

// missing is the most runners that one router does not have as ready.
func (r *run) missing() int {
	most := 0
	for _, router := range r.fleet.routers {
		ready := 0
		for _, runner := range router.registry.List() {
			if runner.State == routing.RunnerReady {
				ready++
			}
		}
		most = max(most, r.settings.Runners-ready)
	}
	return most
}

// draws adds quota moves.
func (r *run) draws(ctx context.Context) error {
	if err := r.fleet.holdUnits(ctx, r.settings.DrawTenants); err != nil {
		return err
	}
	return r.phase(ctx, "draws", func(ctx context.Context) error {
		r.fleet.drawEvery(ctx, time.Second/time.Duration(r.settings.Draws), r.settings.DrawTenants)
		return nil
	})
}

// configurations adds changed configurations.
func (r *run) configurations(ctx context.Context) error {
	return r.phase(ctx, "configurations", func(phase context.Context) error {
		return repeat(phase, configurationEvery, func() error {
			return r.spreadConfiguration(ctx, &r.result.Configurations)
		})
	})
}

// spreadConfiguration puts a configuration and waits until all routers have it.
func (r *run) spreadConfiguration(ctx context.Context, spread *Spread) error {
	one, end := context.WithTimeout(ctx, startWait)
	defer end()
	begun := time.Now()
	sequence, err := r.fleet.put(one, r.raw)
	if err != nil {
		return err
	}
	spread.Acknowledged = append(spread.Acknowledged, time.Since(begun))
	if err := until(ctx, "every router has the configuration", func() bool {
		return r.every(func(router *hollowRouter) bool { _, ok := router.tookAt(sequence); return ok })
	}); err != nil {
		return err
	}
	var last time.Duration
	for _, router := range r.fleet.routers {
		at, _ := router.tookAt(sequence)
		spread.All = append(spread.All, at.Sub(begun))
		last = max(last, at.Sub(begun))
	}
	spread.Last = append(spread.Last, last)
	return nil
}

// drains has one runner after the other drain, and come back.
func (r *run) drains(ctx context.Context) error {
	next := 0
	return r.phase(ctx, "drains", func(phase context.Context) error {
		return repeat(phase, drainEvery, func() error {
			state := routing.RunnerDraining
			if next%2 == 1 {
				state = routing.RunnerReady
			}
			next++
			return r.spreadState(ctx, (next-1)/2%r.settings.Runners, state, &r.result.Drains)
		})
	})
}

// spreadState has a runner change its state and waits until all routers know.
func (r *run) spreadState(ctx context.Context, runner int, state routing.RunnerState, spread *Spread) error {
	begun := time.Now()
	if err := r.fleet.turnState(ctx, runner, state); err != nil {
		return err
	}
	spread.Acknowledged = append(spread.Acknowledged, time.Since(begun))
	id := r.fleet.runners[runner].ID
	knew := map[*hollowRouter]time.Duration{}
	err := until(ctx, "every router knows a runner's new state", func() bool {
		for _, router := range r.fleet.routers {
			if _, already := knew[router]; !already && router.stateOf(id) == state {
				knew[router] = time.Since(begun)
			}
		}
		return len(knew) == len(r.fleet.routers)
	})
	var last time.Duration
	for _, took := range knew {
		spread.All = append(spread.All, took)
		last = max(last, took)
	}
	spread.Last = append(spread.Last, last)
	return err
}

// repeat does something at a steady pace until the context ends.
func repeat(ctx context.Context, every time.Duration, do func() error) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if err := do(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// phase lets something go on for a phase's length, and measures what everyone did meanwhile.
func (r *run) phase(ctx context.Context, name string, during func(context.Context) error) error {
	return r.phaseOf(ctx, name, r.settings.Phase, during)
}

// phaseOf is phase with a length of its own.
func (r *run) phaseOf(ctx context.Context, name string, length time.Duration, during func(context.Context) error) error {
	fmt.Fprintf(r.progress, "%d routers, %d runners: %s\n", r.settings.Routers, r.settings.Runners, name)
	debug.FreeOSMemory() // what earlier phases left behind is none of this one's
	before, err := r.reading(ctx)
	if err != nil {
		return err
	}
	one, end := context.WithTimeout(ctx, length)
	defer end()
	if err := during(one); err != nil {
		return err
	}
	<-one.Done()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	after, err := r.reading(ctx)
	if err != nil {
		return err
	}
	r.result.Phases = append(r.result.Phases, difference(name, r.settings.Routers, before, after))
	return nil
}

// reading is one look at everyone's counters.
type reading struct {
	at      time.Time
	hollow  process
	cores   map[string]process // by address
	primary string
	backups []string
}

type process struct {
	usage   usage
	traffic map[string]wire.Traffic
}

// reading looks at everyone's counters.
func (r *run) reading(ctx context.Context) (reading, error) {
	view := r.fleet.routers[0].hub.Core.View()
	out := reading{cores: map[string]process{}, primary: view.Addr(view.Primary)}
	for _, id := range view.Backups() {
		out.backups = append(out.backups, view.Addr(id))
	}
	for _, c := range r.cores {
		one, end := context.WithTimeout(ctx, 5*time.Second)
		traffic, err := c.Traffic(one)
		end()
		if err != nil {
			return out, err
		}
		used, err := usageOf(c.PID())
		if err != nil {
			return out, err
		}
		out.cores[c.Address] = process{used, traffic}
	}
	used, err := usageOf(os.Getpid())
	out.hollow = process{used, wire.TrafficByKind()}
	out.at = time.Now()
	return out, err
}
