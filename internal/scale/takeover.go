package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/routing"
)

// Takeover is what happened after the primary was killed, counted from the kill.
type Takeover struct {
	Write      time.Duration // until a configuration was taken
	Spread     time.Duration // until every router had taken it
	Follow     time.Duration // until every router knew the new view
	LongestGap time.Duration // between two acknowledged heartbeats of one runner
	Settled    time.Duration // until every router had every runner as ready by the new primary's registry
	Dropped    int           // most runners that a router missed at any time
}

// takeover kills the primary and watches the fleet find the next one.
func (r *run) takeover(ctx context.Context) error {
	r.result.CallsFailed = r.fleet.failed.Load()
	view := r.fleet.routers[0].hub.Core.View()
	dead := slices.IndexFunc(r.cores, func(c CoreProcess) bool { return c.Address == view.Addr(view.Primary) })
	if dead < 0 {
		return fmt.Errorf("scale: the primary at %q is none of the cores", view.Addr(view.Primary))
	}
	out := &r.result.Takeover
	// Every runner is ready again before; else the ones draining would count as missing.
	for i := range r.fleet.runners {
		if r.fleet.runners[i].State != routing.RunnerReady {
			if err := r.fleet.turnState(ctx, i, routing.RunnerReady); err != nil {
				return err
			}
		}
	}
	if err := until(ctx, "every router has every runner as ready", func() bool { return r.missing() == 0 }); err != nil {
		return err
	}
	r.fleet.takeLongestGap()
	r.cores[dead].Kill()
	r.cores = slices.Delete(slices.Clone(r.cores), dead, dead+1)
	return r.phaseOf(ctx, "takeover", r.settings.Phase+settleWait, func(phase context.Context) error {
		begun := time.Now()
		var written Spread
		done := make(chan error, 1)
		go func() { done <- r.spreadConfiguration(ctx, &written) }()
		for watching := true; watching; {
			out.Dropped = max(out.Dropped, r.missing())
			if out.Follow == 0 && r.every(func(router *hollowRouter) bool {
				return router.hub.Core.View().Epoch > view.Epoch
			}) {
				out.Follow = time.Since(begun)
			}
			if out.Settled == 0 && r.every(func(router *hollowRouter) bool {
				epoch, _ := router.registry.Position()
				return epoch>>32 > view.Epoch && len(router.registry.List()) == r.settings.Runners
			}) {
				out.Settled = time.Since(begun)
			}
			watching = env.Wait(phase, 20*time.Millisecond)
		}
		err := <-done
		if err == nil {
			out.Write, out.Spread = written.Acknowledged[0], written.Last[0]
		}
		out.LongestGap = r.fleet.takeLongestGap()
		return err
	})
}
