package runner

import (
	"time"
)

// remoteWork is the last report of another router's work.
type remoteWork struct {
	work Work
	at   time.Time // when it was received
}

// AggregateRemoteWork sums up the work that the other routers have in flight at each runner. Reports older than
// remoteWorkTTL are dropped.
func (p *Pool) AggregateRemoteWork() {
	p.mu.Lock()
	totals := map[string]Load{}
	rateSums := map[string]float64{}
	rateCounts, users := map[string]int{}, map[string]int{}
	for router, remote := range p.work {
		if time.Since(remote.at) > remoteWorkTTL {
			delete(p.work, router)
			continue
		}
		for addr, load := range remote.work.Runners {
			total := totals[addr]
			total.Streams += load.Streams
			total.Tokens += load.Tokens
			totals[addr] = total
			if load.Streams > 0 {
				p.lastUsed[[2]string{router, addr}] = remote.at
			}
			if load.Rate > 0 {
				rateSums[addr] += load.Rate
				rateCounts[addr]++
			}
		}
	}
	for pair, at := range p.lastUsed {
		if time.Since(at) > recentUseTTL {
			delete(p.lastUsed, pair)
		} else {
			users[pair[1]]++
		}
	}
	instances := make([]*Instance, 0, len(p.byAddress))
	for _, instance := range p.byAddress {
		instances = append(instances, instance)
	}
	p.mu.Unlock()
	now := time.Now()
	for _, instance := range instances {
		instance.mu.Lock()
		instance.speed.advance(now, instance.streams())
		instance.remoteLoad, instance.remoteRouters = totals[instance.Address], users[instance.Address]
		instance.remoteRate = 0
		if rateCounts[instance.Address] > 0 {
			instance.remoteRate = rateSums[instance.Address] / float64(rateCounts[instance.Address])
		}
		instance.mu.Unlock()
	}
}

// RemoteQueuedTokens returns the output tokens that other routers have queued in a kind of queue, and how many of those
// routers have any.
func (p *Pool) RemoteQueuedTokens(queueKind string) (tokens, routers int) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, remote := range p.work {
		if n := remote.work.Queued[queueKind]; n > 0 && time.Since(remote.at) <= remoteWorkTTL {
			tokens += n
			routers++
		}
	}
	return tokens, routers
}

// OwnWork returns this router's own work at its runners, for the report to the other routers. Queued is left empty.
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
