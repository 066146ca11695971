// Package discovery finds the fleet's core and its newest view from the addresses that a process knows, and lets routers
// find it: it keeps the addresses where they have been, and announces the view there.
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

// queryTimeout is how long processes are waited for when they are asked for their status.
const queryTimeout = 500 * time.Millisecond

// Config is what a Finder is told about its process.
type Config struct {
	Addr      string        // where the process listens
	Founders  []string      // the addresses of those that found the fleet
	Seeds     []string      // where the fleet is looked for besides
	Bootstrap bool          // without founders, the seeds found the fleet
	LeaseTerm time.Duration // of the primary's lease
}

// Finder looks for the fleet and for views newer than the one known. The run loop's goroutine owns it; SetSeeds may be
// called concurrently.
type Finder struct {
	ctx        context.Context
	config     Config
	founding   []string // the addresses that found the fleet, sorted
	acceptor   *paxos.Acceptor
	call       paxos.CallFunc
	learn      func(view.View)
	seeds      atomic.Pointer[[]string]
	nextSearch time.Time // earliest next search for a newer view
}

// NewFinder makes a finder whose requests end with ctx. learn stores a view that was found, if it is newer.
func NewFinder(ctx context.Context, config Config, acceptor *paxos.Acceptor, call paxos.CallFunc, learn func(view.View)) *Finder {
	f := &Finder{ctx: ctx, config: config, founding: foundingAddrs(config), acceptor: acceptor, call: call, learn: learn}
	f.SetSeeds(config.Seeds)
	return f
}

// foundingAddrs are the addresses that found the fleet, without duplicates, the lowest first.
func foundingAddrs(config Config) []string {
	addrs := slices.Clone(config.Founders)
	if len(addrs) == 0 && config.Bootstrap {
		addrs = slices.Clone(config.Seeds)
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// SetSeeds replaces the addresses at which the fleet is looked for: the settings have changed. Who founds a fleet stays as
// it was at the start.
func (f *Finder) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// FindFleet looks for a fleet that exists and learns its view. Where there is none, and this process is the one to found
// it, it returns the founders, else nil.
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

// PostponeSearch has no search for a newer view begin within two lease terms: the view known is in force.
func (f *Finder) PostponeSearch() { f.nextSearch = time.Now().Add(2 * f.config.LeaseTerm) }

// FindNewerView searches for a newer view where no lease of the primary has run here for long: we may have been removed
// while we were partitioned. It is called again and again, and searches about once in a lease term.
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

// Search asks seeds, members and founders which view they know, and learns the newest.
func (f *Finder) Search(v view.View) {
	addrs := slices.Clone(*f.seeds.Load())
	for _, m := range v.Members {
		addrs = append(addrs, m.Addr)
	}
	for _, status := range f.queryAll(append(addrs, f.config.Founders...)) {
		f.learn(status.View)
	}
}

// queryAll asks every address for its status, and returns those that answered in time.
func (f *Finder) queryAll(addrs []string) map[string]view.StatusResponse {
	ctx, cancel := context.WithTimeout(f.ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	statuses := map[string]view.StatusResponse{}
	asked := map[string]bool{}
	var pending sync.WaitGroup
	for _, addr := range addrs {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		pending.Go(func() {
			if status, err := paxos.QueryStatus(ctx, f.call, addr); err == nil {
				mu.Lock()
				defer mu.Unlock()
				statuses[addr] = status
			}
		})
	}
	pending.Wait()
	return statuses
}
