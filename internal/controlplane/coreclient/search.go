package coreclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/runloop"
)

// How the primary is searched for.
const (
	searchTimeout  = 400 * time.Millisecond // of one search
	maxSearchPeers = 6                      // peers that are asked beside seeds and members
	viewTTL        = 5 * time.Second        // a client that makes calls asks for the view once it was learned so long ago
)

// waitForSearch searches for a primary until a newer view is known or the search has ended, for the backoff at most: the
// known primary may be called again then, and machines that do not answer must not hold up those that do. It reports
// whether ctx still runs.
func (c *Client) waitForSearch(ctx context.Context) bool {
	backoff := time.NewTimer(c.backoff.afterFailure(time.Now()))
	defer backoff.Stop()
	return c.waitForSearchUntil(ctx, backoff.C)
}

// waitForSearchUntil is waitForSearch that ends with its backoff. A nil backoff never ends the wait.
func (c *Client) waitForSearchUntil(ctx context.Context, backoff <-chan time.Time) bool {
	ended, newer := c.joinSearch()
	select {
	case <-ended:
		return true
	case <-newer:
		return true
	case <-backoff:
		return true
	case <-ctx.Done():
		return false
	}
}

// joinSearch joins the search under way, or begins one: however many calls wait for a primary, the fleet is asked as for
// one. It gives what is closed once the search has ended, and what is closed once a newer view is known.
func (c *Client) joinSearch() (ended, newer <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.searchEnded == nil {
		c.searchEnded = make(chan struct{})
		go c.search(c.searchEnded)
	}
	return c.searchEnded, c.viewChanged
}

// search asks the fleet for its view, and lets the next search begin after the backoff. It closes ended then.
func (c *Client) search(ended chan struct{}) {
	c.askForView(c.ctx)
	runloop.Sleep(c.ctx, c.backoff.afterFailure(time.Now()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searchEnded = nil
	close(ended)
}

// askForView asks members, seeds and peers which view they know, and learns those.
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

// searchAddrs lists the addresses that are asked for the view: seeds, members and some peers.
func (c *Client) searchAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs := slices.Clone(c.seeds)
	for _, m := range c.view.Members {
		addrs = append(addrs, m.Addr)
	}
	return append(addrs, c.peers[:min(len(c.peers), maxSearchPeers)]...)
}

// searchView searches until a newer view is known or the search or ctx has ended, and gives the newest view known.
func (c *Client) searchView(ctx context.Context) view.View {
	c.waitForSearchUntil(ctx, nil)
	return c.View()
}

// refreshView begins a search where no view was learned for viewTTL. A primary may stay while all others that the client
// knows are replaced: after its loss nobody would be left to ask. Routers learn the view by their heartbeats.
func (c *Client) refreshView() {
	c.mu.Lock()
	isOld := time.Since(c.learnedAt) > viewTTL
	c.mu.Unlock()
	if isOld {
		c.joinSearch()
	}
}
