// Package discovery lets cores and routers find the fleet. A Finder searches for the fleet's core and its newest view at the
// addresses that a process knows. A RouterDirectory stores the addresses of routers and sends the view to routers that do not
// know the core.
package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

// queryTimeout bounds a round of status queries.
const queryTimeout = 500 * time.Millisecond

// Config configures a Finder.
type Config struct {
	Addr      string        // address of this process
	Founders  []string      // addresses of the cores that found the fleet
	Seeds     []string      // further addresses at which to look for the fleet
	Bootstrap bool          // without Founders, the seeds found the fleet
	LeaseTerm time.Duration // of the primary's lease
}

// Finder searches for the fleet, and for views that are newer than the known one. Only the run loop's goroutine may use it,
// except for SetSeeds, which is safe for concurrent use.
type Finder struct {
	ctx        context.Context
	config     Config
	founding   []string // addresses of the cores that found the fleet, sorted
	acceptor   *paxos.Acceptor
	call       paxos.CallFunc
	learn      func(view.View)
	seeds      atomic.Pointer[[]string]
	nextSearch time.Time // earliest time of the next search for a newer view
}

// NewFinder returns a finder whose queries are cancelled with ctx. learn stores a found view if it is newer than the known one.
func NewFinder(ctx context.Context, config Config, acceptor *paxos.Acceptor, call paxos.CallFunc, learn func(view.View)) *Finder {
	f := &Finder{ctx: ctx, config: config, founding: foundingAddrs(config), acceptor: acceptor, call: call, learn: learn}
	f.SetSeeds(config.Seeds)
	return f
}

// foundingAddrs returns the addresses of the cores that found the fleet, sorted and without duplicates.
func foundingAddrs(config Config) []string {
	addrs := slices.Clone(config.Founders)
	if len(addrs) == 0 && config.Bootstrap {
		addrs = slices.Clone(config.Seeds)
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// SetSeeds replaces the seeds after a change of the settings. It does not change which cores found a fleet.
func (f *Finder) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// FindFleet searches for an existing fleet and learns its view. If there is none and this process has to found it, FindFleet
// returns the founders. Otherwise it returns nil.
func (f *Finder) FindFleet() []view.Member {
	statuses := f.queryAll(append(slices.Clone(f.founding), *f.seeds.Load()...))
	for _, status := range statuses {
		if status.View.Epoch > 0 {
			f.learn(status.View)
		}
	}
	if f.acceptor.View().Epoch > 0 || len(f.founding) == 0 || f.founding[0] != f.config.Addr {
		return nil
	}
	var founders []view.Member
	for _, addr := range f.founding {
		status, ok := statuses[addr]
		if !ok || status.View.Epoch > 0 || status.ID == "" {
			return nil
		}
		founders = append(founders, view.Member{ID: status.ID, Addr: addr, Zone: status.Zone})
	}
	return founders
}

// PostponeSearch postpones the next search for a newer view by two lease terms. It is called while the known view is in force.
func (f *Finder) PostponeSearch() { f.nextSearch = time.Now().Add(2 * f.config.LeaseTerm) }

// FindNewerView searches for a newer view if no primary's lease has been active here for two lease terms, since this process
// may have been removed from the fleet while it was partitioned. It is called periodically, and searches about once per lease
// term.
func (f *Finder) FindNewerView(v view.View) {
	if f.acceptor.HasActiveLease() {
		f.PostponeSearch()
		return
	}
	if time.Now().Before(f.nextSearch) {
		return
	}
	f.nextSearch = time.Now().Add(f.config.LeaseTerm/2 + rand.N(f.config.LeaseTerm))
	f.Search(v)
}

// Search queries seeds, members and founders for their views, and learns the newest.
func (f *Finder) Search(v view.View) {
	addrs := slices.Clone(*f.seeds.Load())
	for _, m := range v.Members {
		addrs = append(addrs, m.Addr)
	}
	for _, status := range f.queryAll(append(addrs, f.config.Founders...)) {
		f.learn(status.View)
	}
}

// queryAll queries the addresses for their status. It returns the responses by address, without those that took too long.
func (f *Finder) queryAll(addrs []string) map[string]view.StatusResponse {
	ctx, cancel := context.WithTimeout(f.ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	statuses := map[string]view.StatusResponse{}
	queried := map[string]bool{}
	var queries sync.WaitGroup
	for _, addr := range addrs {
		if queried[addr] {
			continue
		}
		queried[addr] = true
		queries.Go(func() {
			if status, err := paxos.QueryStatus(ctx, f.call, addr); err == nil {
				mu.Lock()
				defer mu.Unlock()
				statuses[addr] = status
			}
		})
	}
	queries.Wait()
	return statuses
}
