package gateway

import (
	"context"
	"errors"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// errRunnerStalled is the cause with which a stallGuard cancels an attempt.
var errRunnerStalled = errors.New("the runner has stalled")

// stallGuard cancels an attempt whose runner exceeds its stall time-out, so that the stream can be resumed at another runner.
// Its timer runs concurrently with the request.
type stallGuard struct {
	runner *balance.Runner
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// stallCheckInterval is the interval of stall checks while no event arrives.
const stallCheckInterval = 200 * time.Millisecond

func newStallGuard(runner *balance.Runner, cancel context.CancelCauseFunc) *stallGuard {
	g := &stallGuard{runner: runner, cancel: cancel}
	g.timer = time.AfterFunc(stallCheckInterval, g.check)
	return g
}

func (g *stallGuard) check() {
	if g.runner.Stalled() {
		g.cancel(errRunnerStalled)
		return
	}
	g.timer.Reset(stallCheckInterval)
}

// progress postpones the next check after an event. A nil guard does nothing.
func (g *stallGuard) progress() {
	if g != nil {
		g.timer.Reset(stallCheckInterval)
	}
}

func (g *stallGuard) stop() { g.timer.Stop() }
