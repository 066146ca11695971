package gateway

import (
	"context"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// stallGuard cancels an attempt whose runner exceeds its stall time-out, so that the stream can be resumed at another runner.
// Its timer runs concurrently with the request.
type stallGuard struct {
	runner *balance.Runner
	cancel context.CancelFunc
	timer  *time.Timer
}

// stallCheckInterval is the interval of stall checks while no event arrives.
const stallCheckInterval = 200 * time.Millisecond

func newStallGuard(runner *balance.Runner, cancel context.CancelFunc) *stallGuard {
	g := &stallGuard{runner: runner, cancel: cancel}
	g.timer = time.AfterFunc(stallCheckInterval, g.check)
	return g
}

func (g *stallGuard) check() {
	if g.runner.Stalled() {
		g.cancel()
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
