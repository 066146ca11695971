// Package runner tracks the model runners, and other backends that send the same heartbeats: their last reports, their
// health and measured speed, and the requests in flight at them.
package runner

import (
	"sort"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/dissemination"
)

// Timeouts and backoffs that determine a runner's health, and for how long other routers' reports count.
const (
	HeartbeatTimeout = 5 * time.Second  // a runner without a heartbeat for so long is "silent"
	StallTimeout     = 10 * time.Second // a runner that sends no byte for so long while a request is overdue is "stuck"
	minEjection      = time.Second      // backoff after the first failure
	maxEjection      = 16 * time.Second // upper bound of the backoff
	recentUseTTL     = 2 * time.Second  // a router uses a runner if it reported streams there within this time
	remoteWorkTTL    = 3 * time.Second  // age from which on a router's report of its work is ignored
)

// Pool holds all runners known to this router.
type Pool struct {
	routerName string                  // this router's name
	mu         sync.RWMutex            // guards the fields below except wake
	instances  []*Instance             // by Index, including replaced ones
	byAddress  map[string]*Instance    // the current run at each address
	work       map[string]remoteWork   // by router name
	lastUsed   map[[2]string]time.Time // by router name and runner address: when the router last reported streams there
	wake       func()                  // called when a runner may have become available
}

// NewPool returns the empty pool of a router. wake is called when a runner may have become available.
func NewPool(routerName string, wake func()) *Pool {
	return &Pool{routerName: routerName, byAddress: map[string]*Instance{}, work: map[string]remoteWork{}, lastUsed: map[[2]string]time.Time{}, wake: wake}
}

// Prefixes of the keys of the disseminated records with runners' reports and with routers' work.
const (
	KeyPrefix  = "runner/"
	WorkPrefix = "work/"
)

// Apply applies a disseminated record with a runner's report or a router's work. It ignores all other records.
func (p *Pool) Apply(record dissemination.Record) {
	switch {
	case strings.HasPrefix(record.Key, KeyPrefix):
		var report Report
		if _, err := report.UnmarshalMsg(record.Body); err != nil {
			return
		}
		if faultinjection.Disabled("leaving") && report.State == "leaving" {
			report.State = "ready"
		}
		p.mu.Lock()
		instance := p.byAddress[report.Address]
		if instance == nil || instance.generation != record.Generation {
			// A new run at a known address counts as a new runner: the health, speed and slots of the old run do not carry over.
			if instance != nil {
				instance.mu.Lock()
				instance.replaced = true
				instance.mu.Unlock()
			}
			instance = &Instance{Index: len(p.instances), Address: report.Address, generation: record.Generation}
			p.instances = append(p.instances, instance)
			p.byAddress[report.Address] = instance
		}
		p.mu.Unlock()
		instance.mu.Lock()
		instance.report, instance.heartbeatAt, instance.reportedAt = report, time.Now(), time.Now()
		instance.mu.Unlock()
		p.wake()
	case record.Key == WorkPrefix+p.routerName: // this router's own report, received back from another one
	case strings.HasPrefix(record.Key, WorkPrefix):
		var work Work
		if _, err := work.UnmarshalMsg(record.Body); err != nil {
			return
		}
		p.mu.Lock()
		p.work[strings.TrimPrefix(record.Key, WorkPrefix)] = remoteWork{work, time.Now()}
		p.mu.Unlock()
		p.AggregateRemoteWork()
	}
}

// List returns the current run at each address, in the order in which the runs became known.
func (p *Pool) List() []*Instance {
	p.mu.RLock()
	out := make([]*Instance, 0, len(p.byAddress))
	for _, instance := range p.byAddress {
		out = append(out, instance)
	}
	p.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Index < out[j].Index })
	return out
}

// RemoveExpired removes runners whose last heartbeat is older than ttl, unless they have requests of this router in flight.
func (p *Pool) RemoveExpired(ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, instance := range p.byAddress {
		instance.mu.Lock()
		if time.Since(instance.heartbeatAt) > ttl && len(instance.slots) == 0 {
			instance.replaced = true
			delete(p.byAddress, addr)
		}
		instance.mu.Unlock()
	}
}
