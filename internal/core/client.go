package core

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/env"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// Client finds the primary and calls it, through hand-overs and replaced machines.
type Client struct {
	ctx         env.Ctx
	caller      *wire.Caller
	seeds       []string
	mu          sync.Mutex
	view        view.View
	peers       []string
	searchEnd   chan struct{} // closed when the search under way ends; nil: there is none
	viewChanged chan struct{} // closed when a newer view is heard of
}

// NewClient makes a client that starts from the seeds: addresses of any processes of the fleet.
//
//	c := core.NewClient(ctx, cal, set.Addrs("seeds"))
func NewClient(ctx env.Ctx, cal *wire.Caller, seeds []string) *Client {
	return &Client{ctx: ctx, caller: cal, seeds: seeds, viewChanged: make(chan struct{})}
}

// View is the newest view heard of.
//
//	v := c.View()
func (c *Client) View() view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Learn takes a view if it is newer.
//
//	c.Learn(told.View)
func (c *Client) Learn(v view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Epoch > c.view.Epoch {
		c.view = v
		close(c.viewChanged)
		c.viewChanged = make(chan struct{})
	}
}

// SetSeeds replaces the seeds: the settings have changed.
//
//	c.SetSeeds(set.Addrs("seeds"))
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// SetPeers adds addresses to ask besides the seeds: the other nodes.
//
//	c.SetPeers(addrs)
func (c *Client) SetPeers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addrs
}

// searchPause is between two searches for a primary, and between two tries at the primary that is known.
const searchPause = 50 * time.Millisecond

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
		hunt := make(chan struct{})
		c.searchEnd = hunt
		go func() {
			c.askForView(c.ctx)
			env.Wait(c.ctx, searchPause)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.searchEnd = nil
			close(hunt)
		}()
	}
	return c.searchEnd, c.viewChanged
}

// askForView asks members, seeds and peers which view they know.
func (c *Client) askForView(ctx context.Context) {
	c.mu.Lock()
	to := append([]string{}, c.seeds...)
	for _, m := range c.view.Members {
		to = append(to, m.Addr)
	}
	for i, p := range c.peers {
		if i < 6 {
			to = append(to, p)
		}
	}
	c.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, 400*time.Millisecond)
	defer end()
	seen := map[string]bool{}
	var all sync.WaitGroup
	for _, a := range to {
		if seen[a] {
			continue
		}
		seen[a] = true
		all.Go(func() {
			var t view.StatusResponse
			if c.caller.Call(ctx, a, "view.ask", &view.StatusRequest{}, &t) == nil {
				c.Learn(t.View)
			}
		})
	}
	all.Wait()
}

// Call asks the primary, looking for it anew as long as ctx runs. again says the call may be
// repeated after an answer in doubt: it names its own turn, id or sequence.
// ErrUnsent or a NotReady fault mean surely not taken; ErrDoubt or an InDoubt fault: perhaps.
//
//	err := c.Call(ctx, "core.take", &take, &took, true)
func (c *Client) Call(ctx context.Context, kind string, in msgp.Marshaler, out msgp.Unmarshaler, again bool) error {
	var last error
	for {
		v := c.View()
		if to := v.Addr(v.Primary); to != "" {
			err := c.callPrimary(ctx, to, kind, in, out, again)
			switch {
			case err == nil:
				return nil
			case wire.Is(err, NotPrimary), wire.Is(err, NotReady), errors.Is(err, wire.ErrUnsent):
			case (wire.Is(err, InDoubt) || errors.Is(err, wire.ErrDoubt)) && again:
			default:
				return err
			}
			// The worst that any try may have come to is what the caller is told.
			if last == nil || !IsInDoubt(last) {
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

// How long a primary is waited for that says nothing: the fleet is asked whether there is another one long
// before the usual caller gives up, so that not each call in turn spends all its time on a machine gone dark.
const (
	primarySilence = 300 * time.Millisecond
	maxPrimaryWait = 1500 * time.Millisecond // a frozen primary must not eat the whole time of a longer call
)

// callPrimary makes one call to the primary that we know. Where it may be repeated, it ends once another
// primary is found.
func (c *Client) callPrimary(ctx context.Context, to, kind string, in msgp.Marshaler, out msgp.Unmarshaler, again bool) error {
	one, end := context.WithCancel(ctx)
	if again {
		one, end = context.WithTimeout(ctx, maxPrimaryWait)
	}
	defer end()
	search := time.AfterFunc(primarySilence, func() {
		if next := c.searchView(one); again && next.Addr(next.Primary) != to {
			end()
		}
	})
	defer search.Stop()
	return c.caller.Call(one, to, kind, in, out)
}

// searchView asks the fleet for its view, and gives the newest one known.
func (c *Client) searchView(ctx context.Context) view.View {
	c.waitForSearchUntil(ctx, nil)
	return c.View()
}

// IsInDoubt tells whether a call that ended in err may yet take effect.
//
//	if core.IsInDoubt(err) { ... }
func IsInDoubt(err error) bool {
	return wire.Is(err, InDoubt) || errors.Is(err, wire.ErrDoubt)
}
