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

// recordFault records a hard fault that happens now.
func (d *Day) recordFault(name string) {
	d.monitor.record(func(ev *Evidence) { ev.HardFaults = append(ev.HardFaults, HardFault{name, time.Now()}) })
}

// killAndRestart kills processes at once, records that as a fault and restarts them after the time down.
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

// partitionPrimaryZone isolates the primary's zone, whose loss has the most effect, while clients send on both sides.
func (d *Day) partitionPrimaryZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	from := time.Now()
	d.fleet.Links.Isolate(zone)
	runloop.Sleep(ctx, 15*time.Second)
	d.putUntilAcknowledged(ctx, d.config)
	d.monitor.record(func(ev *Evidence) { ev.Partitions = append(ev.Partitions, Partition{zone, from, time.Now()}) })
	d.fleet.Links.Isolate("")
}

// freezeProcesses stops the primary and then a router with SIGSTOP for 4 s each.
func (d *Day) freezeProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.primaryCore(ctx), d.pickRouter()} {
		p.Signal(syscall.SIGSTOP)
		d.recordFault(p.Name + " frozen")
		runloop.Sleep(ctx, 4*time.Second)
		p.Signal(syscall.SIGCONT)
		runloop.Sleep(ctx, time.Second)
	}
}

// restartProcesses stops a router, the primary and another router with SIGTERM while requests are in flight, and
// starts each again.
func (d *Day) restartProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.pickRouter(), d.primaryCore(ctx), d.pickRouter()} {
		// Requests without streams that take about 2 s and are in flight when the signal comes.
		kind := d.fleet.Mix.Kinds[0]
		kind.TailBytes = 500 << 10
		numbers := map[string]bool{}
		for range 5 {
			numbers[strconv.FormatUint(d.sendRequest(kind, max(0, slices.Index(d.fleet.Routers, p))), 10)] = true
		}
		waitCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		// The restart goes on if this times out, because an overloaded fleet may reject all five.
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

// killPrimaryZone kills all processes and runners in the zone of the primary and restarts them.
func (d *Day) killPrimaryZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	procs, runners := d.fleet.InZone(zone)
	for _, runner := range runners {
		runner.Crash()
	}
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "hall "+zone+" lost", 5*time.Second, procs)
	for _, runner := range runners {
		d.startRunner(runner)
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
