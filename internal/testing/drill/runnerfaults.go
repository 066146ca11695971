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

// requestsWhileLeaving is how many requests for each model runner the day sends while one of them leaves.
const requestsWhileLeaving = 24

// announceLeaving has a runner leave for longer than routers may still send to it, and has so many requests come
// after that time that a runner still in use surely gets one. The ordinary traffic of a second may bring it none.
func (d *Day) announceLeaving(ctx context.Context) {
	s := d.pickModelRunner()
	departure := Departure{Runner: s.Name, RunID: s.runID, At: s.Leave(ctx)}
	d.monitor.record(func(ev *Evidence) { ev.Departures = append(ev.Departures, departure) })
	runloop.Sleep(ctx, leavingGrace+d.slack)
	kind := d.fleet.Mix.Kinds[0] // the most frequent one that goes to model runners
	var numbers []uint64
	for i := range requestsWhileLeaving * len(d.fleet.ModelRunners) {
		numbers = append(numbers, d.sendRequest(kind, i))
		runloop.Sleep(ctx, 10*time.Millisecond)
	}
	what := "the requests sent while " + s.Name + " leaves have ended"
	d.waitUntil(ctx, recoveryLimit, what, func() bool { return allEnded(d.load.Outcomes(), numbers) })
	s.Crash()
	d.startRunner(s)
}

// allEnded reports whether each of these requests has had an answer.
func allEnded(outcomes []Outcome, numbers []uint64) bool {
	answered := map[uint64]bool{}
	for _, outcome := range outcomes {
		answered[outcome.Number] = true
	}
	return !slices.ContainsFunc(numbers, func(number uint64) bool { return !answered[number] })
}

func (d *Day) startRunner(s *Standin) {
	if err := s.Start(); err != nil {
		d.err = err
	}
}

func (d *Day) replaceRunners(ctx context.Context) {
	for _, s := range slices.Concat(d.fleet.ModelRunners[:len(d.fleet.ModelRunners)/2], d.fleet.AppRunners[:1]) {
		s.Crash()
		runloop.Sleep(ctx, 100*time.Millisecond)
		d.startRunner(s)
		runloop.Sleep(ctx, 300*time.Millisecond)
	}
}

func (d *Day) hangRunner(ctx context.Context) {
	s := d.pickModelRunner()
	s.Hang(true)
	runloop.Sleep(ctx, 4*time.Second)
	s.Crash()
	d.startRunner(s)
}

func (d *Day) refuseConnections(ctx context.Context) {
	runners := slices.Concat(d.fleet.ModelRunners[1:], d.fleet.AppRunners[1:])
	for _, s := range runners {
		s.RefuseConnections()
	}
	runloop.Sleep(ctx, 5*time.Second)
	for _, s := range runners {
		if err := s.AcceptConnections(); err != nil {
			d.err = err
		}
	}
}

func (d *Day) breakStreams(ctx context.Context) {
	runners := slices.Concat(d.fleet.ModelRunners[:len(d.fleet.ModelRunners)/2], d.fleet.AppRunners[:len(d.fleet.AppRunners)/2])
	for _, s := range runners {
		s.BreakStreamsAfter(10)
	}
	// The traffic alone brings few streams in that time, and fewer on a slow machine.
	for _, k := range d.fleet.Mix.Kinds {
		for i := 0; k.Stream && i < 24; i++ {
			d.sendRequest(k, i)
		}
	}
	runloop.Sleep(ctx, 4*time.Second)
	for _, s := range runners {
		s.BreakStreamsAfter(0)
	}
}
