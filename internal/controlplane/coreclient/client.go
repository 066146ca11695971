// Package coreclient is how routers, the operators' API and cores that are not primary call the primary: it finds the primary, calls it,
// repeats what may be repeated and follows replacements. It is the one package of the control plane that the data plane calls.
package coreclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// Client finds the primary and calls it, through hand-overs and replaced machines.
type Client struct {
	ctx         daemon.Context
	caller      *wire.Caller
	seeds       []string
	mu          sync.Mutex
	view        view.View
	viewHeardAt time.Time // when a view was last told, a newer one or not
	peers       []string
	searchEnd   chan struct{} // closed when the search under way ends; nil: there is none
	viewChanged chan struct{} // closed when a newer view is heard of
}

// NewClient makes a client that starts from the seeds: addresses of any processes of the fleet.
func NewClient(ctx daemon.Context, caller *wire.Caller, seeds []string) *Client {
	return &Client{ctx: ctx, caller: caller, seeds: seeds, viewChanged: make(chan struct{})}
}

// View is the newest view heard of.
func (c *Client) View() view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Learn takes a view if it is newer.
func (c *Client) Learn(v view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viewHeardAt = time.Now()
	if v.Epoch > c.view.Epoch {
		c.view = v
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

// SetPeers sets addresses to ask besides the seeds: the other nodes.
func (c *Client) SetPeers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addrs
}

// How a primary is searched for.
const (
	searchPause    = 50 * time.Millisecond // between two searches, and between two calls of the primary that is known
	searchTimeout  = 400 * time.Millisecond
	maxSearchPeers = 6 // other nodes that are asked beside seeds and members
)

// waitForSearch searches for a primary until a newer view is known or the search has ended, and no longer than until the
// known primary may be tried again: machines gone dark must not hold up those that answer.
func (c *Client) waitForSearch(ctx context.Context) bool {
	pause := time.NewTimer(searchPause)
	defer pause.Stop()
	return c.waitForSearchUntil(ctx, pause.C)
}

// waitForSearchUntil joins the search for the primary that is under way, or begins one: however many calls wait for a
// primary, the fleet is asked as for one. A nil pause never ends the wait.
func (c *Client) waitForSearchUntil(ctx context.Context, pause <-chan time.Time) bool {
	done, newer := c.search()
	select {
	case <-done:
		return true
	case <-newer:
		return true
	case <-pause:
		return true
	case <-ctx.Done():
		return false
	}
}

// search begins a search where none is under way. It gives what is closed at its end, and what is closed once a
// newer view is known.
func (c *Client) search() (done, newer <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.searchEnd == nil {
		end := make(chan struct{})
		c.searchEnd = end
		go func() {
			c.askForView(c.ctx)
			runloop.Sleep(c.ctx, searchPause)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.searchEnd = nil
			close(end)
		}()
	}
	return c.searchEnd, c.viewChanged
}

// viewFreshFor is how old the view of a client that makes calls may become.
const viewFreshFor = 5 * time.Second

// refreshView asks for the view where none was told for long. A primary may stay while all others that the client
// knows are replaced: after its loss nobody would be left to ask. Nodes are told the view with their heartbeats.
func (c *Client) refreshView() {
	c.mu.Lock()
	isOld := time.Since(c.viewHeardAt) > viewFreshFor
	c.mu.Unlock()
	if isOld {
		c.search()
	}
}

// askForView asks members, seeds and peers which view they know.
func (c *Client) askForView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	asked := map[string]bool{}
	var all sync.WaitGroup
	for _, addr := range c.searchAddrs() {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		all.Go(func() {
			var status view.StatusResponse
			if c.caller.Call(ctx, addr, "view.ask", &view.StatusRequest{}, &status) == nil {
				c.Learn(status.View)
			}
		})
	}
	all.Wait()
}

// searchAddrs lists where the view is asked for: seeds, members and some peers.
func (c *Client) searchAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs := slices.Clone(c.seeds)
	for _, m := range c.view.Members {
		addrs = append(addrs, m.Addr)
	}
	return append(addrs, c.peers[:min(len(c.peers), maxSearchPeers)]...)
}

// Call asks the primary, looking for it anew as long as ctx runs. repeatable says that the call may be
// repeated after a response in doubt: it names its own turn, id or version.
// ErrUnsent or a NotReady fault mean surely not taken; ErrDoubt or an InDoubt fault: perhaps.
func (c *Client) Call(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, repeatable bool) error {
	var last error
	for {
		v := c.View()
		if primary := v.Addr(v.Primary); primary != "" {
			err := c.callPrimary(ctx, primary, kind, request, response, repeatable)
			if err == nil {
				c.refreshView()
				return nil
			}
			if !isWorthRepeating(err, repeatable) {
				return err
			}
			// The worst that any attempt may have come to is what the caller is told.
			if last == nil || !coreapi.IsOutcomeUnknown(last) {
				last = err
			}
		}
		if next := c.View(); ctx.Err() == nil && next.Addr(next.Primary) != v.Addr(v.Primary) {
			continue // another primary was found meanwhile
		}
		if ctx.Err() != nil || !c.waitForSearch(ctx) {
			break
		}
	}
	if last == nil {
		last = eris.Wrapf(wire.ErrUnsent, "%s: no primary found", kind)
	}
	return last
}

// isWorthRepeating reports whether a call that ended in err may be made again and may end otherwise.
func isWorthRepeating(err error, repeatable bool) bool {
	if wire.HasCode(err, coreapi.CodeNotPrimary) || wire.HasCode(err, coreapi.CodeNotReady) || errors.Is(err, wire.ErrUnsent) {
		return true
	}
	return coreapi.IsOutcomeUnknown(err) && repeatable
}

// How long a primary is waited for that says nothing: the fleet is asked whether there is another one long
// before the usual caller gives up, so that not each call in turn spends all its time on a machine gone dark.
const (
	primarySilence = 300 * time.Millisecond
	maxPrimaryWait = 1500 * time.Millisecond // a frozen primary must not eat the whole time of a longer call
)

// callPrimary makes one call to the primary that we know. Where it may be repeated, it ends once another
// primary is found.
func (c *Client) callPrimary(ctx context.Context, primary, kind string, request msgp.Marshaler, response msgp.Unmarshaler, repeatable bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if repeatable {
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, maxPrimaryWait)
		defer cancelTimeout()
	}
	search := time.AfterFunc(primarySilence, func() {
		if next := c.searchView(ctx); repeatable && next.Addr(next.Primary) != primary {
			cancel()
		}
	})
	defer search.Stop()
	return c.caller.Call(ctx, primary, kind, request, response)
}

// searchView asks the fleet for its view, and gives the newest one known.
func (c *Client) searchView(ctx context.Context) view.View {
	c.waitForSearchUntil(ctx, nil)
	return c.View()
}

// SendRunnerHeartbeat tells the primary a runner's heartbeat, whichever core that is. It may be repeated: a
// heartbeat that was taken before changes nothing.
func (c *Client) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return c.Call(ctx, "core.runner", &coreapi.RunnerHeartbeat{Runner: runner}, &coreapi.Empty{}, true)
}
