// Package balance chooses the runner of each request: the one that is expected to answer first, judged by what it keeps of
// the prompt, by the wait that this router measures there, and by its failures.
//
// A choice (choose.go) lists the candidates, estimates each one's cost (cost.go) and breaks ties at random. The policies
// that enter are outlier ejection (ejection.go), the stall time-out (stall.go), the prefill rate (prefill.go), low-latency
// runners (latency.go), the prefix cache (prefix.go), rendezvous hashing (rendezvous.go) and session affinity (session.go,
// affinity.go). What attempts teach is recorded in attempt.go.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/model/routing"
)

// PromptPart is one part of a prompt: parts with the same ID are the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the choice of a runner depends on.
type Request struct {
	Service string
	Model   string       // "": any
	Parts   []PromptPart // of the prompt, in order
	Input   int          // tokens of the whole prompt
	Output  int          // the most tokens that may come out
	Tried   map[int]bool // runners not to choose, by Runner.Index
}

// Balancer knows all runners and chooses among them. All its methods may be called concurrently. Locks are taken in the
// order Balancer.mu, Runner.mu, those of serviceStats.
type Balancer struct {
	zone  string
	cache *PrefixCache

	// Sessions says which runners keep sessions' contexts beside their affinity target; the routers share it.
	Sessions *session.Directory
	recent   *recentSessions
	wake     chan struct{} // holds one value where a runner was added

	mu       sync.Mutex // guards the fields below, up to services
	next     int        // Index of the next runner
	byID     map[string]*Runner
	added    []*Runner // that have become ready since the last RefreshAffinity
	services map[string]*serviceStats

	byService  atomic.Pointer[map[string][]*Runner] // replaced by Update, never changed in place
	turn       atomic.Uint64                        // counts ties
	lowLatency atomic.Pointer[lowLatencyRunners]    // nil: nothing is known yet
}

// New makes a balancer for a router in a zone.
func New(zone string) *Balancer {
	b := &Balancer{zone: zone, cache: NewPrefixCache(maxPrefixEntries), byID: map[string]*Runner{}, services: map[string]*serviceStats{},
		Sessions: session.New(maxDirectorySessions), recent: newRecentSessions(maxRecentSessions), wake: make(chan struct{}, 1)}
	b.byService.Store(&map[string][]*Runner{})
	return b
}

// maxPrefixEntries bounds how many prompt parts a router remembers.
const maxPrefixEntries = 1 << 16

// Update takes the list of all known runners. What was measured of a runner stays with it while it is on the list.
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
			runner = newRunner(b.next, info, b.statsOf(info.Service), now)
			b.next++
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

// refresh takes what a runner last said of itself. The caller holds b.mu.
func (b *Balancer) refresh(runner *Runner, info routing.Runner, now time.Time) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	becameReady := runner.since == now || runner.info.State != routing.RunnerReady || len(info.Models) > len(runner.info.Models)
	if info.State == routing.RunnerReady && becameReady {
		b.recordAdded(runner)
	}
	runner.info = info
}

// Runners lists the known runners of a service.
func (b *Balancer) Runners(service string) []*Runner { return (*b.byService.Load())[service] }

// AddressReused records that another runner has the address of this one: it is gone.
func (b *Balancer) AddressReused(runner *Runner) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.info.State = routing.RunnerGone
}
