package drill

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"time"

	"yarrowridge/internal/lib/runloop"
)

func (d *Day) noteFault(name string) {
	d.watch.note(func(ev *Evidence) { ev.HardFaults = append(ev.HardFaults, HardFault{name, time.Now()}) })
}

// killAndRestart kills processes at once and starts them again after a while.
func (d *Day) killAndRestart(ctx context.Context, name string, down time.Duration, procs []*Proc) {
	d.noteFault(name)
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	runloop.Sleep(ctx, down)
	for _, p := range procs {
		p.Wait(10 * time.Second)
		if err := p.Start(); err != nil {
			d.err = err
		}
	}
}

func (d *Day) killRouters(ctx context.Context) {
	var dead []*Proc
	for _, i := range d.random.Perm(len(d.fleet.Routers))[:len(d.fleet.Routers)/2] {
		dead = append(dead, d.fleet.Routers[i])
	}
	d.killAndRestart(ctx, "half of the routers killed", 4*time.Second, dead)
}

// cutLink cuts the primary's zone off, the hardest to lose, with clients on both sides.
func (d *Day) cutLink(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	from := time.Now()
	d.fleet.Links.Cut(zone)
	runloop.Sleep(ctx, 15*time.Second)
	d.putUntilAcknowledged(ctx, d.config)
	d.watch.note(func(ev *Evidence) { ev.LinkCuts = append(ev.LinkCuts, LinkCut{zone, from, time.Now()}) })
	d.fleet.Links.Cut("")
}

func (d *Day) freezeProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.primaryCore(ctx), d.pickRouter()} {
		p.Signal(syscall.SIGSTOP)
		d.noteFault(p.Name + " frozen")
		runloop.Sleep(ctx, 4*time.Second)
		p.Signal(syscall.SIGCONT)
		runloop.Sleep(ctx, time.Second)
	}
}

func (d *Day) restartProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.pickRouter(), d.primaryCore(ctx), d.pickRouter()} {
		// Whole answers that are under way when the warning comes, for some 2 s.
		k := d.fleet.Mix.Kinds[0]
		k.Tail = 500 << 10
		mine := map[string]bool{}
		for range 5 {
			mine[strconv.FormatUint(d.sendRequest(k, max(0, slices.Index(d.fleet.Routers, p))), 10)] = true
		}
		near, far := context.WithTimeout(ctx, 5*time.Second)
		// The restart goes on without it: an overloaded fleet may reject all five.
		_ = d.fleet.Until(near, "a runner has one of them", func() bool {
			return slices.ContainsFunc(d.fleet.RequestLog.All(), func(s Seen) bool { return mine[s.Header.Get("X-Drill-N")] })
		})
		far()
		from := time.Now()
		p.Signal(syscall.SIGTERM)
		if !p.Wait(30 * time.Second) {
			d.err = fmt.Errorf("%s does not stop", p.Name)
			return
		}
		if p.Client != "" {
			d.watch.note(func(ev *Evidence) { ev.PlannedStops = append(ev.PlannedStops, PlannedStop{p.Name, from, time.Now()}) })
		}
		if err := p.Start(); err != nil {
			d.err = err
		}
		d.waitReady(ctx, p.Name+" is back")
	}
}

func (d *Day) loseZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	dead, runs := d.fleet.In(zone)
	for _, s := range runs {
		s.Crash()
	}
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "hall "+zone+" lost", 5*time.Second, dead)
	for _, s := range runs {
		d.startRunner(s)
	}
}

func (d *Day) loseAll(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every process killed", 500*time.Millisecond, slices.Concat(d.fleet.Cores, d.fleet.Routers))
}

func (d *Day) loseRouters(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every router killed", 500*time.Millisecond, d.fleet.Routers)
}
