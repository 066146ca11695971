// Package coreclient is the client with which routers, the operators' API and cores that are not primary call the primary. It
// finds the primary, retries calls and follows a change of primary. It is the only package of the control plane that the data
// plane uses, besides the types of coreapi and view.
//
// A failed call has one of three outcomes, which callers distinguish with errors.Is and wire.HasCode:
//   - not applied: wire.ErrUnsent, coreapi.CodeNotReady, coreapi.CodeNotPrimary, coreapi.CodeOverloaded;
//   - outcome unknown, the call may have been applied or may still be: coreapi.IsOutcomeUnknown;
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

// Client finds the primary and calls it, also after a change of primary and after cores were replaced. Its methods are safe for
// concurrent use.
type Client struct {
	ctx    daemon.Context
	caller *wire.Caller

	backoff backoff

	mu          sync.Mutex // guards the fields below
	seeds       []string
	peers       []string
	view        view.View     // newest view learned
	learnedAt   time.Time     // when a view was last learned, even if it was not newer
	viewChanged chan struct{} // closed and replaced when a newer view is learned
	searches    int           // number since a newer view was learned or a call succeeded
	searchEnded chan struct{} // closed when the search in progress ends; nil: none is in progress

	backoffElapsed chan struct{} // closed when the backoff in progress has elapsed; nil: none is in progress
}

// NewClient returns a client that finds the fleet through seeds, the addresses of any of its processes. Searches are cancelled
// with ctx.
func NewClient(ctx daemon.Context, caller *wire.Caller, seeds []string) *Client {
	return &Client{ctx: ctx, caller: caller, seeds: seeds, viewChanged: make(chan struct{})}
}

// View returns the newest view learned.
func (c *Client) View() view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Learn replaces the known view if v is newer.
func (c *Client) Learn(v view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedAt = time.Now()
	if v.Epoch > c.view.Epoch {
		if v.Addr(v.Primary) != c.view.Addr(c.view.Primary) {
			c.backoff.recordNewPrimary()
			c.backoffElapsed = nil // a call to the new primary that fails begins a backoff of its own
		}
		c.view = v
		c.searches = 0
		close(c.viewChanged)
		c.viewChanged = make(chan struct{})
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SetPeers sets the addresses of other routers, some of which a search queries in addition to seeds and members.
func (c *Client) SetPeers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addrs
}

// SendRunnerHeartbeat sends a runner's heartbeat to the primary. It is idempotent, since a heartbeat that was already recorded
// changes nothing. The errors are those of Call.
func (c *Client) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return c.Call(ctx, "core.runner", &coreapi.RunnerHeartbeat{Runner: runner}, &coreapi.Empty{}, true)
}
