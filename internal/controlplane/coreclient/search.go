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

// How the primary is searched for.
const (
	searchTimeout  = 400 * time.Millisecond // of one search
	maxSearchPeers = 6                      // peers that are asked beside seeds and members
	firstSearch    = 4                      // addresses that a first search asks; each further one asks twice as many
	maxWidening    = 8                      // times that it doubles: by then it asks all
	viewTTL        = 5 * time.Second        // a client that makes calls asks for the view once it was learned so long ago
)

// waitForSearch searches for a primary until a newer view is known or the search has ended, for the backoff at most: the
// known primary may be called again then, and machines that do not answer must not hold up those that do. It reports
// whether ctx still runs.
func (c *Client) waitForSearch(ctx context.Context) bool {
	timer := time.NewTimer(c.backoff.afterFailure(time.Now()))
	defer timer.Stop()
	return c.waitForSearchUntil(ctx, timer.C)
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
//
// All clients of a primary that is lost search at once, and most of them have no connections to the other cores: a crowd that
// asks everybody keeps the cores from choosing another primary. So a search begins with those who know first, and widens
// while no newer view is found.
func (c *Client) search(ended chan struct{}) {
	c.mu.Lock()
	count := firstSearch << min(c.searches, maxWidening)
	c.searches++
	c.mu.Unlock()
	addrs := c.searchAddrs()
	c.askForView(c.ctx, addrs[:min(count, len(addrs))])
	runloop.Sleep(c.ctx, c.backoff.afterFailure(time.Now()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searchEnded = nil
	close(ended)
}

// askForView asks processes at some addresses which view they know, and learns those.
func (c *Client) askForView(ctx context.Context, addrs []string) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, addr := range addrs {
		all.Go(func() {
			var status view.StatusResponse
			if c.caller.Call(ctx, addr, "view.ask", &view.StatusRequest{}, &status) == nil {
				c.Learn(status.View)
			}
		})
	}
	all.Wait()
}

// searchAddrs lists the addresses that are asked for the view, each once: the backups, one of which is the next primary, then
// members, seeds and some peers in any order, and last the primary that does not answer.
func (c *Client) searchAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first, others []string
	for _, m := range c.view.Members {
		switch {
		case c.view.IsBackup(m.ID):
			first = append(first, m.Addr)
		case m.ID != c.view.Primary:
			others = append(others, m.Addr)
		}
	}
	others = slices.Concat(others, c.seeds, c.peers[:min(len(c.peers), maxSearchPeers)])
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	seen := map[string]bool{}
	primary := c.view.Addr(c.view.Primary)
	return slices.DeleteFunc(slices.Concat(first, others, []string{primary}), func(addr string) bool {
		isRepeated := addr == "" || seen[addr]
		seen[addr] = true
		return isRepeated
	})
}

// searchView searches until a newer view is known or the search or ctx has ended, and gives the newest view known.
func (c *Client) searchView(ctx context.Context) view.View {
	c.waitForSearchUntil(ctx, nil)
	return c.View()
}

// recordSuccess notes that the primary has carried out a call.
func (c *Client) recordSuccess() {
	c.backoff.recordSuccess()
	c.mu.Lock()
	c.searches = 0
	c.mu.Unlock()
	c.refreshView()
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
