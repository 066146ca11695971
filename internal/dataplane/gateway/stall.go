package gateway

import (
	"context"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// stallGuard ends an attempt whose runner has exceeded its stall time-out, so that the stream can be resumed at another
// one. Its timer runs concurrently with the request.
type stallGuard struct {
	runner *balance.Runner
	cancel context.CancelFunc
	timer  *time.Timer
}

// stallCheckInterval is how often a stream without events checks its runner's stall time-out.
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

// progress records an event. A nil guard does nothing.
func (g *stallGuard) progress() {
	if g != nil {
		g.timer.Reset(stallCheckInterval)
	}
}

func (g *stallGuard) stop() { g.timer.Stop() }
