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

func (d *Day) recordFault(name string) {
	d.monitor.record(func(ev *Evidence) { ev.HardFaults = append(ev.HardFaults, HardFault{name, time.Now()}) })
}

// killAndRestart kills processes at once and starts them again after a while.
func (d *Day) killAndRestart(ctx context.Context, name string, down time.Duration, procs []*Proc) {
	d.recordFault(name)
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

func (d *Day) killHalfOfRouters(ctx context.Context) {
	var procs []*Proc
	for _, i := range d.random.Perm(len(d.fleet.Routers))[:len(d.fleet.Routers)/2] {
		procs = append(procs, d.fleet.Routers[i])
	}
	d.killAndRestart(ctx, "half of the routers killed", 4*time.Second, procs)
}

// partitionPrimaryZone cuts the primary's zone off, the hardest to lose, with clients on both sides.
func (d *Day) partitionPrimaryZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	from := time.Now()
	d.fleet.Links.Isolate(zone)
	runloop.Sleep(ctx, 15*time.Second)
	d.putUntilAcknowledged(ctx, d.config)
	d.monitor.record(func(ev *Evidence) { ev.Partitions = append(ev.Partitions, Partition{zone, from, time.Now()}) })
	d.fleet.Links.Isolate("")
}

func (d *Day) freezeProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.primaryCore(ctx), d.pickRouter()} {
		p.Signal(syscall.SIGSTOP)
		d.recordFault(p.Name + " frozen")
		runloop.Sleep(ctx, 4*time.Second)
		p.Signal(syscall.SIGCONT)
		runloop.Sleep(ctx, time.Second)
	}
}

func (d *Day) restartProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.pickRouter(), d.primaryCore(ctx), d.pickRouter()} {
		// Whole answers that are under way when the warning comes, for some 2 s.
		k := d.fleet.Mix.Kinds[0]
		k.TailBytes = 500 << 10
		numbers := map[string]bool{}
		for range 5 {
			numbers[strconv.FormatUint(d.sendRequest(k, max(0, slices.Index(d.fleet.Routers, p))), 10)] = true
		}
		waitCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		// The restart goes on without it: an overloaded fleet may reject all five.
		_ = d.fleet.WaitUntil(waitCtx, "a runner has one of them", func() bool {
			return slices.ContainsFunc(d.fleet.RequestLog.All(), func(s RunnerRequest) bool { return numbers[s.Header.Get("X-Drill-N")] })
		})
		cancel()
		from := time.Now()
		p.Signal(syscall.SIGTERM)
		if !p.Wait(30 * time.Second) {
			d.err = fmt.Errorf("%s does not stop", p.Name)
			return
		}
		if p.ClientAddr != "" {
			d.monitor.record(func(ev *Evidence) { ev.PlannedStops = append(ev.PlannedStops, PlannedStop{p.Name, from, time.Now()}) })
		}
		if err := p.Start(); err != nil {
			d.err = err
		}
		d.waitReady(ctx, p.Name+" is back")
	}
}

func (d *Day) killPrimaryZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	procs, runners := d.fleet.InZone(zone)
	for _, s := range runners {
		s.Crash()
	}
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "hall "+zone+" lost", 5*time.Second, procs)
	for _, s := range runners {
		d.startRunner(s)
	}
}

func (d *Day) killAllProcesses(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every process killed", 500*time.Millisecond, slices.Concat(d.fleet.Cores, d.fleet.Routers))
}

func (d *Day) killAllRouters(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every router killed", 500*time.Millisecond, d.fleet.Routers)
}
