package runner

import (
	"time"
)

// remoteWork is what another router last reported of its work.
type remoteWork struct {
	work Work
	at   time.Time
}

// AggregateRemoteWork sums up what the other routers have in flight, leaving out those not heard of lately.
func (p *Pool) AggregateRemoteWork() {
	p.mu.Lock()
	sum := map[string]Load{}
	rate := map[string]float64{}
	rated, busy := map[string]int{}, map[string]int{}
	for router, remote := range p.work {
		if time.Since(remote.at) > remoteWorkTTL {
			delete(p.work, router)
			continue
		}
		for addr, load := range remote.work.Runners {
			total := sum[addr]
			total.Streams += load.Streams
			total.Tokens += load.Tokens
			sum[addr] = total
			if load.Streams > 0 {
				p.lastUsed[[2]string{router, addr}] = remote.at
			}
			if load.Rate > 0 {
				rate[addr] += load.Rate
				rated[addr]++
			}
		}
	}
	for pair, at := range p.lastUsed {
		if time.Since(at) > recentUseTTL {
			delete(p.lastUsed, pair)
		} else {
			busy[pair[1]]++
		}
	}
	all := make([]*Instance, 0, len(p.byAddress))
	for _, instance := range p.byAddress {
		all = append(all, instance)
	}
	p.mu.Unlock()
	now := time.Now()
	for _, instance := range all {
		instance.mu.Lock()
		instance.speed.advance(now, instance.streams())
		instance.remoteLoad, instance.remoteRouters = sum[instance.Address], busy[instance.Address]
		instance.remoteRate = 0
		if rated[instance.Address] > 0 {
			instance.remoteRate = rate[instance.Address] / float64(rated[instance.Address])
		}
		instance.mu.Unlock()
	}
}

// RemoteQueuedTokens is what other routers hold in their queues for a kind of work, in output tokens, and how
// many of them hold any.
func (p *Pool) RemoteQueuedTokens(kind string) (sum, routers int) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, remote := range p.work {
		if n := remote.work.Queued[kind]; n > 0 && time.Since(remote.at) <= remoteWorkTTL {
			sum += n
			routers++
		}
	}
	return sum, routers
}

// OwnWork is the report of our own work for the other routers.
func (p *Pool) OwnWork() Work {
	work := Work{Runners: map[string]Load{}, Queued: map[string]int{}}
	for _, instance := range p.List() {
		instance.mu.Lock()
		load := Load{Streams: len(instance.slots), Tokens: instance.ownQueuedTokens(), Rate: instance.rate(instance.capacity())}
		instance.mu.Unlock()
		if load.Streams > 0 || load.Rate > 0 {
			work.Runners[instance.Address] = load
		}
	}
	return work
}
