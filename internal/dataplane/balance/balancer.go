// Package balance chooses the runner of each request: the one that is expected to answer first, judged by
// what it keeps of the prompt, by the wait that this router measures there, and by its failures.
package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// Part is one part of a prompt: parts with one id are the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the choice of a runner depends on.
type Request struct {
	Service string
	Model   string
	Parts   []PromptPart // of the prompt, in order
	Input   int          // tokens of the whole prompt
	Output  int          // the most tokens that may come out
	Tried   map[int]bool
}

// Balancer knows all runners and chooses among them.
type Balancer struct {
	zone  string
	cache *PrefixCache

	// Sessions tells which runners hold sessions' contexts beside their home; the routers share it.
	Sessions *session.Directory
	recent   *recentSessions
	added    []*Runner     // that have become ready since the last Rehome; guarded by mu
	wake     chan struct{} // has one where one was added

	mu         sync.Mutex // over changes of the set
	next       int
	byID       map[string]*Runner
	services   map[string]*serviceStats
	byService  atomic.Pointer[map[string][]*Runner]
	turn       atomic.Uint64
	lowLatency atomic.Pointer[lowLatencyRunners]
}

// New makes a balancer of a router in a zone.
func New(zone string) *Balancer {
	b := &Balancer{zone: zone, cache: NewPrefixCache(maxPrefixEntries), byID: map[string]*Runner{}, services: map[string]*serviceStats{},
		Sessions: session.New(maxDirectorySessions), recent: newRecentSessions(maxRecentSessions), wake: make(chan struct{}, 1)}
	b.byService.Store(&map[string][]*Runner{})
	return b
}

// prefixEntries bounds how many prompt parts a router remembers.
const maxPrefixEntries = 1 << 16

// Update takes the list of all known runners.
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
		runner.mu.Lock()
		if info.State == routing.RunnerReady && (runner.since == now || runner.info.State != routing.RunnerReady ||
			len(info.Models) > len(runner.info.Models)) {
			b.recordAdded(runner)
		}
		runner.info = info
		runner.mu.Unlock()
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

// Runners lists the known runners of a service.
func (b *Balancer) Runners(service string) []*Runner { return (*b.byService.Load())[service] }

// Misplaced notes that another runner has the address of this one: it is gone.
func (b *Balancer) AddressReused(runner *Runner) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.info.State = routing.RunnerGone
}

// candidate is a runner that could be sent a request, as one choice sees it.
type candidate struct {
	runner  *Runner
	id      string
	ready   bool    // as its heartbeats say
	ejected bool    // only as a last resort
	wait    float64 // cost without what has to be read, in milliseconds
	rate    float64 // prompt tokens read in a millisecond
}

// Choose picks the runner that is expected to answer first and counts the request as sent to it. Nil:
// there is none that may be sent anything.
func (b *Balancer) Choose(request Request) *Attempt {
	now := time.Now()
	candidates := b.candidates(request, now)
	key, shared := affinity(request.Parts)
	first, home := rendezvous(candidates, key)
	held := b.cache.Match(request.Parts)
	context := b.session(&request, key, shared)
	expected := first
	if context.id != 0 {
		expected = context.presumedHolder(candidates, first)
		if context.affinityTarget = home; len(request.Tried) > 0 {
			context.affinityTarget = b.affinityTarget(request.Service, request.Model, key)
		}
	}
	var best *Runner
	bestCost, bestRead, equals := math.Inf(1), 0, 0
	for i := range candidates {
		c := &candidates[i]
		kept := held[c.runner.Index]
		if c.runner == expected || context.isHeldBy(c.id) {
			kept = max(kept, shared)
		}
		read := max(0, request.Input-kept)
		cost := c.wait + float64(read)/c.rate + rereadCostMsPerToken*float64(max(0, shared-kept))
		if c.ejected {
			cost += ejectedCostMs
		}
		switch {
		case cost < bestCost:
			equals = 1
		case cost == bestCost:
			equals++
		default:
			continue
		}
		// Each of several equals is as likely as the others, so that routers do not all choose the same runner.
		if equals == 1 || hashing.Mix(b.turn.Add(1))%uint64(equals) == 0 {
			best, bestCost, bestRead = c.runner, cost, read
		}
	}
	if best == nil {
		return nil
	}
	b.cache.Record(request.Parts, best.Index)
	attempt := best.begin(bestRead, now)
	attempt.balancer, attempt.context = b, context
	return attempt
}

// candidates are the runners that a request could be sent to.
func (b *Balancer) candidates(request Request, now time.Time) []candidate {
	runners := b.Runners(request.Service)
	out := make([]candidate, 0, len(runners))
	calm := b.lowLatencyNow(now)
	for _, runner := range runners {
		if request.Tried[runner.Index] {
			continue
		}
		runner.mu.Lock()
		if usable, barred := runner.usable(request.Model, now); usable {
			wait := runner.waitCost(request, b.zone, now) + runner.eventGapCost(request, calm)
			out = append(out, candidate{runner: runner, id: runner.info.ID, ready: runner.info.State == routing.RunnerReady,
				ejected: barred, wait: wait, rate: runner.prefillRate()})
		}
		runner.mu.Unlock()
	}
	return out
}
