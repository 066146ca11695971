package coreclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/runloop"
)

// Limits of a search for the primary.
const (
	searchTimeout     = 400 * time.Millisecond // time-out of the queries of one search
	maxSearchPeers    = 6                      // peers that are queried in addition to seeds and members
	initialSearchSize = 4                      // addresses that the first search queries; each further search queries twice as many
	maxDoublings      = 8                      // of initialSearchSize; by then all addresses are queried
	viewTTL           = 5 * time.Second        // a client that makes calls refreshes a view that is older
)

// waitToRetry searches for a primary until a newer view is known or the backoff has elapsed. After the backoff the known primary
// may be called again, so that machines that do not respond do not delay the call to one that does. It returns false if ctx
// ended.
func (c *Client) waitToRetry(ctx context.Context) bool {
	c.joinSearch()
	elapsed, newer := c.joinBackoff()
	select {
	case <-elapsed:
		return true
	case <-newer:
		return true
	case <-ctx.Done():
		return false
	}
}

// joinBackoff joins the backoff in progress or starts one. All waiting calls thus retry at the same time and share one connection
// attempt. It returns a channel that is closed when the backoff has elapsed and one that is closed when a newer view is known.
func (c *Client) joinBackoff() (elapsed, newer <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backoffElapsed == nil {
		current := make(chan struct{})
		c.backoffElapsed = current
		time.AfterFunc(c.backoff.afterFailure(time.Now()), func() { c.endBackoff(current) })
	}
	return c.backoffElapsed, c.viewChanged
}

// endBackoff ends a backoff, which is no longer the one in progress if the client has found a primary in the meantime.
func (c *Client) endBackoff(elapsed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backoffElapsed == elapsed {
		c.backoffElapsed = nil
	}
	close(elapsed)
}

// joinSearch joins the search in progress or starts one, so that any number of waiting calls cause only one search. It returns
// a channel that is closed when the search has ended and one that is closed when a newer view is known. The end of a search is
// no reason to retry a call: the search may have been joined shortly before.
func (c *Client) joinSearch() (ended, newer <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.searchEnded == nil {
		c.searchEnded = make(chan struct{})
		go c.search(c.searchEnded)
	}
	return c.searchEnded, c.viewChanged
}

// search queries the fleet for its view, and waits for the backoff before it closes ended and allows the next search.
//
// All clients of a failed primary search at the same time, and most of them have no connections to the other cores. If all of
// them queried all addresses, the load would keep the cores from electing another primary. The first search therefore queries
// only a few addresses, those most likely to know a newer view, and further searches query more until one is found.
func (c *Client) search(ended chan struct{}) {
	c.mu.Lock()
	count := initialSearchSize << min(c.searches, maxDoublings)
	c.searches++
	c.mu.Unlock()
	addrs := c.searchAddrs()
	c.queryViews(c.ctx, addrs[:min(count, len(addrs))])
	runloop.Sleep(c.ctx, c.backoff.afterFailure(time.Now()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searchEnded = nil
	close(ended)
}

// queryViews queries the processes at some addresses for the views that they know, and learns these.
func (c *Client) queryViews(ctx context.Context, addrs []string) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, addr := range addrs {
		queries.Go(func() {
			var status view.StatusResponse
			if c.caller.Call(ctx, addr, "view.ask", &view.StatusRequest{}, &status) == nil {
				c.Learn(status.View)
			}
		})
	}
	queries.Wait()
}

// searchAddrs returns the addresses to query for the view, without duplicates: first the backups, one of which becomes the next
// primary, then members, seeds and some peers in random order, and last the primary, which does not respond.
func (c *Client) searchAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var backups, others []string
	for _, m := range c.view.Members {
		switch {
		case c.view.IsBackup(m.ID):
			backups = append(backups, m.Addr)
		case m.ID != c.view.Primary:
			others = append(others, m.Addr)
		}
	}
	others = slices.Concat(others, c.seeds, c.peers[:min(len(c.peers), maxSearchPeers)])
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	seen := map[string]bool{}
	primary := c.view.Addr(c.view.Primary)
	return slices.DeleteFunc(slices.Concat(backups, others, []string{primary}), func(addr string) bool {
		isSkipped := addr == "" || seen[addr]
		seen[addr] = true
		return isSkipped
	})
}

// searchView searches until a newer view is known, the search has ended or ctx ends, and returns the newest view known.
func (c *Client) searchView(ctx context.Context) view.View {
	ended, newer := c.joinSearch()
	select {
	case <-ended:
	case <-newer:
	case <-ctx.Done():
	}
	return c.View()
}

// recordSuccess records that a call to the primary succeeded: it resets the backoffs and the size of searches.
func (c *Client) recordSuccess() {
	c.backoff.recordSuccess()
	c.mu.Lock()
	c.searches = 0
	c.backoffElapsed = nil
	c.mu.Unlock()
	c.refreshView()
}

// refreshView starts a search if no view was learned for viewTTL. Otherwise, all other cores that the client knows could be
// replaced while the primary stays, and after the loss of that primary the client would have no address left to query. Routers
// learn the view from the responses to their heartbeats instead.
func (c *Client) refreshView() {
	c.mu.Lock()
	isExpired := time.Since(c.learnedAt) > viewTTL
	c.mu.Unlock()
	if isExpired {
		c.joinSearch()
	}
}
