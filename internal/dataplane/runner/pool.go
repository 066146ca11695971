// Package runner keeps track of the model runners, and of other back ends that send the same
// heartbeats: their last reports, their health and measured speed, and the requests sent to them.
package runner

import (
	"sort"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/dissemination"
)

// Bounds that decide a runner's health.
const (
	HeartbeatTimeout = 5 * time.Second  // without a heartbeat: silent
	StallTimeout     = 10 * time.Second // requests in flight and not a byte: stuck
	minEjection      = time.Second
	maxEjection      = 16 * time.Second
	recentUseTTL     = 2 * time.Second // a router that had streams on a runner so lately counts as using it
	remoteWorkTTL    = 3 * time.Second // a router's report of its work older than this does not count
)

// Pool is all runners known to this router.
type Pool struct {
	routerName string // this router's name
	mu         sync.RWMutex
	instances  []*Instance
	byAddress  map[string]*Instance
	work       map[string]remoteWork
	lastUsed   map[[2]string]time.Time // router and runner: when streams were last told of
	wake       func()
}

// NewPool makes the empty pool of a router; wake is called when a runner may have become free.
func NewPool(me string, wake func()) *Pool {
	return &Pool{routerName: me, byAddress: map[string]*Instance{}, work: map[string]remoteWork{}, lastUsed: map[[2]string]time.Time{}, wake: wake}
}

// Prefixes of the keys under which runners and routers' work stand among the disseminated records.
const (
	KeyPrefix  = "runner/"
	WorkPrefix = "work/"
)

// Apply takes a disseminated record; others than those of runners and of routers' work are passed over.
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
			// Another run at a known address is another runner: nothing of the old counts for it.
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
		instance.report, instance.heardAt, instance.reportedAt = report, time.Now(), time.Now()
		instance.mu.Unlock()
		p.wake()
	case record.Key == WorkPrefix+p.routerName: // our own report, come back to us
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

// List gives all runs that are not known to be gone, in a steady order.
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

// RemoveExpired removes runners that were not heard for longer than a duration and have no request of ours.
func (p *Pool) RemoveExpired(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, instance := range p.byAddress {
		instance.mu.Lock()
		if time.Since(instance.heardAt) > duration && len(instance.slots) == 0 {
			instance.replaced = true
			delete(p.byAddress, addr)
		}
		instance.mu.Unlock()
	}
}
