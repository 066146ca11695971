// Package balance chooses a runner for each request: the one that is expected to answer first, given the share of the
// prompt that it has cached, the wait that this router measures there and its recent failures.
//
// A choice (choose.go) lists the candidates, estimates the cost of each (cost.go) and breaks ties at random. The cost
// depends on outlier ejection (ejection.go), the stall timeout (stall.go), the prefill rate (prefill.go), low-latency
// runners (latency.go), the prefix cache (prefix.go), rendezvous hashing (rendezvous.go) and session affinity
// (session.go, affinity.go). The results of attempts are recorded in attempt.go.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/model/routing"
)

// PromptPart is one segment of a prompt. Parts with the same ID have the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that the choice of a runner depends on.
type Request struct {
	Service string
	Model   string       // "": any model
	Parts   []PromptPart // of the prompt, in order
	Input   int          // tokens in the whole prompt
	Output  int          // maximum output tokens
	Tried   map[int]bool // runners to exclude, by Runner.Index
}

// Balancer tracks all runners and chooses among them. Its methods may be called concurrently. Lock order: Balancer.mu,
// Runner.mu, the locks in serviceStats.
type Balancer struct {
	zone  string
	cache *PrefixCache

	// Sessions is the replicated directory of sessions that are cached at runners other than their affinity target.
	Sessions    *session.Directory
	recent      *recentSessions
	addedSignal chan struct{} // has one pending value after a runner was added

	mu        sync.Mutex // guards the fields below, up to services
	nextIndex int        // Index of the next new runner
	byID      map[string]*Runner
	added     []*Runner // runners that became ready since the last RefreshAffinity
	services  map[string]*serviceStats

	byService  atomic.Pointer[map[string][]*Runner] // replaced by Update, never modified in place
	tieCounter atomic.Uint64                        // seeds the draws that break ties
	lowLatency atomic.Pointer[lowLatencyRunners]    // nil: no report yet
}

// New creates a balancer for a router in the given zone.
func New(zone string) *Balancer {
	b := &Balancer{zone: zone, cache: NewPrefixCache(maxPrefixEntries), byID: map[string]*Runner{}, services: map[string]*serviceStats{},
		Sessions: session.New(maxDirectorySessions), recent: newRecentSessions(maxRecentSessions), addedSignal: make(chan struct{}, 1)}
	b.byService.Store(&map[string][]*Runner{})
	return b
}

// maxPrefixEntries bounds the number of prompt parts in a router's prefix cache.
const maxPrefixEntries = 1 << 16

// Update replaces the list of runners. Measurements of a runner are kept for as long as it stays on the list.
func (b *Balancer) Update(list []routing.Runner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	known := map[string]bool{}
	var gone []string
	services := map[string][]*Runner{}
	for _, info := range list {
		known[info.ID] = true
		runner := b.byID[info.ID]
		if runner == nil {
			runner = newRunner(b.nextIndex, info, b.statsFor(info.Service), now)
			b.nextIndex++
			b.byID[info.ID] = runner
		}
		b.refresh(runner, info, now)
		if info.State == routing.RunnerGone {
			gone = append(gone, info.ID)
		}
		services[info.Service] = append(services[info.Service], runner)
	}
	for id := range b.byID {
		if !known[id] {
			delete(b.byID, id)
			gone = append(gone, id)
		}
	}
	b.Sessions.RemoveRunners(gone...)
	b.byService.Store(&services)
}

// refresh stores the latest state that a runner reported. The caller holds b.mu.
func (b *Balancer) refresh(runner *Runner, info routing.Runner, now time.Time) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	becameReady := runner.firstSeen == now || runner.info.State != routing.RunnerReady || len(info.Models) > len(runner.info.Models)
	if info.State == routing.RunnerReady && becameReady {
		b.recordAdded(runner)
	}
	runner.info = info
}

// Runners returns the runners of a service.
func (b *Balancer) Runners(service string) []*Runner { return (*b.byService.Load())[service] }

// AddressReused marks a runner as gone because another runner now has its address.
func (b *Balancer) AddressReused(runner *Runner) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.info.State = routing.RunnerGone
}
