package drill

import (
	"context"
	"slices"
	"time"

	"yarrowridge/internal/lib/runloop"
)

func (d *Day) pickModelRunner() *Standin {
	return d.fleet.ModelRunners[d.random.IntN(len(d.fleet.ModelRunners))]
}

// requestsWhileLeaving is the number of requests, for each model runner, that the day sends while one of them leaves.
const requestsWhileLeaving = 24

// announceLeaving has a runner announce that it leaves, waits until routers may no longer send to it, and then sends so
// many requests that a runner that is still in use gets one. The load alone may send it none in a second.
func (d *Day) announceLeaving(ctx context.Context) {
	runner := d.pickModelRunner()
	departure := Departure{Runner: runner.Name, RunID: runner.runID, At: runner.Leave(ctx)}
	d.monitor.record(func(ev *Evidence) { ev.Departures = append(ev.Departures, departure) })
	runloop.Sleep(ctx, leavingGrace+d.slack)
	kind := d.fleet.Mix.Kinds[0] // the most frequent kind that goes to model runners
	var numbers []uint64
	for i := range requestsWhileLeaving * len(d.fleet.ModelRunners) {
		numbers = append(numbers, d.sendRequest(kind, i))
		runloop.Sleep(ctx, 10*time.Millisecond)
	}
	what := "the requests sent while " + runner.Name + " leaves have ended"
	d.waitUntil(ctx, recoveryLimit, what, func() bool { return allEnded(d.load.Outcomes(), numbers) })
	runner.Crash()
	d.startRunner(runner)
}

// allEnded reports whether there is an outcome of each of these requests.
func allEnded(outcomes []Outcome, numbers []uint64) bool {
	answered := map[uint64]bool{}
	for _, outcome := range outcomes {
		answered[outcome.Number] = true
	}
	return !slices.ContainsFunc(numbers, func(number uint64) bool { return !answered[number] })
}

func (d *Day) startRunner(runner *Standin) {
	if err := runner.Start(); err != nil {
		d.err = err
	}
}

func (d *Day) replaceRunners(ctx context.Context) {
	for _, runner := range slices.Concat(d.fleet.ModelRunners[:len(d.fleet.ModelRunners)/2], d.fleet.AppRunners[:1]) {
		runner.Crash()
		runloop.Sleep(ctx, 100*time.Millisecond)
		d.startRunner(runner)
		runloop.Sleep(ctx, 300*time.Millisecond)
	}
}

// hangRunner has a runner accept requests without answering them for 4 s.
func (d *Day) hangRunner(ctx context.Context) {
	runner := d.pickModelRunner()
	runner.Hang(true)
	runloop.Sleep(ctx, 4*time.Second)
	runner.Crash()
	d.startRunner(runner)
}

// refuseConnections has all but two runners refuse connections for 5 s while their heartbeats continue.
func (d *Day) refuseConnections(ctx context.Context) {
	runners := slices.Concat(d.fleet.ModelRunners[1:], d.fleet.AppRunners[1:])
	for _, runner := range runners {
		runner.RefuseConnections()
	}
	runloop.Sleep(ctx, 5*time.Second)
	for _, runner := range runners {
		if err := runner.AcceptConnections(); err != nil {
			d.err = err
		}
	}
}

// breakStreams has half of the runners break their answers off for 4 s.
func (d *Day) breakStreams(ctx context.Context) {
	runners := slices.Concat(d.fleet.ModelRunners[:len(d.fleet.ModelRunners)/2], d.fleet.AppRunners[:len(d.fleet.AppRunners)/2])
	for _, runner := range runners {
		runner.BreakStreamsAfter(10)
	}
	// The load alone opens few streams in that time, and even fewer on a slow machine.
	for _, k := range d.fleet.Mix.Kinds {
		for i := 0; k.Stream && i < 24; i++ {
			d.sendRequest(k, i)
		}
	}
	runloop.Sleep(ctx, 4*time.Second)
	for _, runner := range runners {
		runner.BreakStreamsAfter(0)
	}
}
