// Package coreclient is how routers, the operators' API and cores that are not primary call the primary: it finds the
// primary, calls it, retries and follows replacements. It is the one package of the control plane that the data plane
// calls.
//
// A call that fails has one of three outcomes, which errors.Is and wire.HasCode tell apart:
//   - surely not carried out: wire.ErrUnsent, coreapi.CodeNotReady, coreapi.CodeNotPrimary, coreapi.CodeOverloaded;
//   - outcome unknown, it may have been carried out or may be yet: coreapi.IsOutcomeUnknown;
//   - rejected by the primary: any other code.
package coreclient

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// Client finds the primary and calls it, through hand-overs and replaced machines. Its methods may be called concurrently.
type Client struct {
	ctx    daemon.Context
	caller *wire.Caller

	backoff backoff

	mu          sync.Mutex // guards what follows
	seeds       []string
	peers       []string
	view        view.View
	learnedAt   time.Time     // when a view was last learned, a newer one or not
	viewChanged chan struct{} // closed, and replaced, when a newer view is learned
	searches    int           // since a newer view was learned or a call succeeded
	searchEnded chan struct{} // closed when the search under way ends; nil: there is none
}

// NewClient makes a client that starts from the seeds: addresses of any processes of the fleet. Its searches end with ctx.
func NewClient(ctx daemon.Context, caller *wire.Caller, seeds []string) *Client {
	return &Client{ctx: ctx, caller: caller, seeds: seeds, viewChanged: make(chan struct{})}
}

// View is the newest view learned.
func (c *Client) View() view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Learn takes a view if it is newer than the one known.
func (c *Client) Learn(v view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedAt = time.Now()
	if v.Epoch > c.view.Epoch {
		if v.Addr(v.Primary) != c.view.Addr(c.view.Primary) {
			c.backoff.recordNewPrimary()
		}
		c.view = v
		c.searches = 0
		close(c.viewChanged)
		c.viewChanged = make(chan struct{})
	}
}

// SetSeeds replaces the seeds: the settings have changed.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SetPeers sets the addresses that a search asks beside seeds and members: those of the other routers.
func (c *Client) SetPeers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addrs
}

// SendRunnerHeartbeat sends a runner's heartbeat to the primary. It is idempotent: a heartbeat that was taken before
// changes nothing. Errors are those of Call.
func (c *Client) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return c.Call(ctx, "core.runner", &coreapi.RunnerHeartbeat{Runner: runner}, &coreapi.Empty{}, true)
}
