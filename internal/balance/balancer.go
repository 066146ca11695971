// Package balance chooses the runner of each request: the one that is expected to answer first, judged by
// what it keeps of the prompt, by the wait that this router measures there, and by its failures.
package balance

import (
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/routing"
	"yarrowridge/internal/session"
	"yarrowridge/internal/spread"
)

// Part is one part of a prompt: parts with one id are the same text.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what the choice of a runner depends on.
type Request struct {
	Service string
	Model   string
	Parts   []Part // of the prompt, in order
	Input   int    // tokens of the whole prompt
	Output  int    // the most tokens that may come out
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

	mu        sync.Mutex // over changes of the set
	next      int
	byID      map[string]*Runner
	services  map[string]*serviceHabits
	byService atomic.Pointer[map[string][]*Runner]
	turn      atomic.Uint64
	calm      atomic.Pointer[calmRunners]
}

// New makes a balancer of a router in a zone.
func New(zone string) *Balancer {
	b := &Balancer{zone: zone, cache: NewPrefixCache(prefixEntries), byID: map[string]*Runner{}, services: map[string]*serviceHabits{},
		Sessions: session.New(directoryMost), recent: newRecentSessions(recentMost), wake: make(chan struct{}, 1)}
	b.byService.Store(&map[string][]*Runner{})
	return b
}

// prefixEntries bounds how many prompt parts a router remembers.
const prefixEntries = 1 << 16

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
			runner = newRunner(b.next, info, b.habitsOf(info.Service), now)
			b.next++
			b.byID[info.ID] = runner
		}
		runner.mu.Lock()
		if info.State == routing.RunnerReady && (runner.since == now || runner.info.State != routing.RunnerReady ||
			len(info.Models) > len(runner.info.Models)) {
			b.noteAdded(runner)
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
	b.Sessions.Gone(gone...)
	b.byService.Store(&services)
}

// serviceHabits is what this router has seen of all runners of one service together.
type serviceHabits struct {
	speed    speed
	silences silences
}

// habitsOf gives what was seen of a service's runners. The caller holds the lock.
func (b *Balancer) habitsOf(service string) *serviceHabits {
	known := b.services[service]
	if known == nil {
		known = &serviceHabits{}
		b.services[service] = known
	}
	return known
}

// Runners lists the known runners of a service.
func (b *Balancer) Runners(service string) []*Runner { return (*b.byService.Load())[service] }

// Misplaced notes that another runner has the address of this one: it is gone.
func (b *Balancer) Misplaced(runner *Runner) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.info.State = routing.RunnerGone
}

// candidate is a runner that could be sent a request, as one choice sees it.
type candidate struct {
	runner *Runner
	id     string
	ready  bool    // as its heartbeats say
	barred bool    // only as a last resort
	wait   float64 // cost without what has to be read, in milliseconds
	rate   float64 // prompt tokens read in a millisecond
}

// Choose picks the runner that is expected to answer first and counts the request as sent to it. Nil:
// there is none that may be sent anything.
func (b *Balancer) Choose(request Request) *Attempt {
	now := time.Now()
	candidates := b.candidates(request, now)
	key, shared := affinity(request.Parts)
	first, second, home := rendezvous(candidates, key)
	held := b.cache.Match(request.Parts)
	context := b.session(&request, key, shared)
	expected := first
	if context.id != 0 {
		expected = context.expected(candidates, first)
		if context.home = home; len(request.Tried) > 0 {
			context.home = b.home(request.Service, request.Model, key)
		}
	}
	var best *Runner
	bestCost, bestRead, equals := math.Inf(1), 0, 0
	for i := range candidates {
		c := &candidates[i]
		kept := held[c.runner.Index]
		again := readAgainMs
		switch {
		case c.runner == expected, context.holds(c.id):
			kept = max(kept, shared)
		case c.runner == first:
			again *= homeward
		case c.runner == second:
			again *= secondChoice
		}
		read := max(0, request.Input-kept)
		cost := c.wait + float64(read)/c.rate + again*float64(max(0, shared-kept))
		if c.barred {
			cost += lastResortMs
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
		if equals == 1 || spread.Mix(b.turn.Add(1))%uint64(equals) == 0 {
			best, bestCost, bestRead = c.runner, cost, read
		}
	}
	if best == nil {
		return nil
	}
	b.cache.Note(request.Parts, best.Index)
	attempt := best.begin(bestRead, now)
	attempt.balancer, attempt.context = b, context
	return attempt
}

// candidates are the runners that a request could be sent to.
func (b *Balancer) candidates(request Request, now time.Time) []candidate {
	runners := b.Runners(request.Service)
	out := make([]candidate, 0, len(runners))
	calm := b.calmNow(now)
	for _, runner := range runners {
		if request.Tried[runner.Index] {
			continue
		}
		runner.mu.Lock()
		if usable, barred := runner.usable(request.Model, now); usable {
			wait := runner.waitCost(request, b.zone, now) + runner.pauseCost(request, calm)
			out = append(out, candidate{runner: runner, id: runner.info.ID, ready: runner.info.State == routing.RunnerReady,
				barred: barred, wait: wait, rate: runner.rate()})
		}
		runner.mu.Unlock()
	}
	return out
}

// usable tells whether the runner may be sent a request at all, and whether only as a last resort. The
// caller holds the lock.
func (r *Runner) usable(model string, now time.Time) (usable, barred bool) {
	if r.info.State != routing.RunnerReady && r.info.State != routing.RunnerSilent {
		return false, false
	}
	if !servesModel(&r.info, model) {
		return false, false
	}
	barred = r.info.State == routing.RunnerSilent || now.Before(r.barredUntil) || r.silent(now) || r.failingElsewhere(now) >= fleetBarred ||
		r.failures > 0 && len(r.open) > 0 // after its failure one request tries whether it serves again
	return true, barred
}

// servesModel tells whether a runner serves the model; "": any.
func servesModel(info *routing.Runner, model string) bool {
	return model == "" || len(info.Models) == 0 || slices.ContainsFunc(info.Models, func(m routing.RunnerModel) bool { return m.Name == model })
}

// Weights of what the cost adds up, in milliseconds.
const (
	failureCostMs  = 400.0 // of a runner that fails each request
	fullCostMs     = 200.0 // of one that just said it is full
	fleetBarred    = 0.5   // share of failures of all routers from which on a runner is a last resort
	fullSpan       = 150 * time.Millisecond
	otherZoneMs    = 1.5      // a request to another zone costs bytes between zones and a longer way
	decodeCostMs   = 1.5      // for each stream under way there
	lastResortMs   = 100000.0 // of a runner that failed lately, is silent or on trial
	secondChoice   = 0.9      // of readAgainMs at the second choice: all routers leave a full runner for the same one
	homeward       = 0.5      // of readAgainMs at the first choice of a session that others hold: under load it comes home
	requestCostMs  = 4.0      // for each whole answer under way on an ordinary service
	warmupCostPart = 0.6
	// longGapWeight is what a millisecond between events costs where more comes out than goes in: such an
	// answer is late by its pauses rather than by its first event.
	longGapWeight = 4.0
	// restlessMs is what such an answer costs at a runner that is not one of the calm ones.
	restlessMs = 40.0
	// readAgainMs is what a shared token costs that the runner has to read though another one keeps it: more
	// than the time of the reading, since it takes that time from all other requests of the fleet. A session
	// of some thousand tokens leaves its runner for a wait that endangers the usual aims, not for a few
	// milliseconds.
	readAgainMs = 0.02
)

// waitCost estimates the time to the first byte but for the reading of the request's own prompt, in
// milliseconds. The caller holds the lock.
func (r *Runner) waitCost(request Request, zone string, now time.Time) float64 {
	cost := r.fadedWait(now) + float64(r.promptOpen)/r.rate()
	cost += max(r.fadedFailures(now), r.failingElsewhere(now)) * failureCostMs
	if request.Input > 0 || r.promptOpen > 0 {
		cost += decodeCostMs * float64(len(r.open))
	} else {
		cost += float64(len(r.open)) * max(requestCostMs, r.serviceMs/4)
	}
	if now.Sub(r.full) < fullSpan {
		cost += fullCostMs
	}
	if r.info.Zone != zone {
		cost += otherZoneMs
	}
	if r.info.WarmupLeftMs > 0 {
		cost *= 1 + warmupCostPart
	}
	return cost
}

// pauseCost is what an answer of which more comes out than goes in is expected to suffer by its pauses, in
// milliseconds. What all routers saw goes before what this one did. The caller holds the lock.
func (r *Runner) pauseCost(request Request, calm *calmRunners) float64 {
	switch {
	case request.Output <= request.Input:
		return 0
	case calm == nil:
		return longGapWeight * r.gapMs
	case calm.ids[r.info.ID]:
		return 0
	}
	return restlessMs
}

// affinity gives the key by which all routers pick the same runner for a session, and how many tokens of
// the prompt that runner is expected to keep.
func affinity(parts []Part) (key uint64, shared int) {
	if len(parts) == 0 {
		return 0, 0
	}
	// The last part is the request's own, unless there is no other.
	for _, part := range parts[:max(1, len(parts)-1)] {
		shared += part.Tokens
		key = part.ID
	}
	return key, shared
}

// rendezvous picks the two usable runners with the highest weights for a key: every router works out the same
// ones, and a change of the set moves only the keys of the runner that came or went. Nil: the key is none, or
// there are too few. home is the ready runner with the highest weight, whatever this router thinks of it.
func rendezvous(candidates []candidate, key uint64) (first, second *Runner, home string) {
	if key == 0 {
		return nil, nil, ""
	}
	var firstWeight, secondWeight, homeWeight uint64
	for i := range candidates {
		c := &candidates[i]
		weight := weightOf(key, c.id)
		if c.ready && (home == "" || weight > homeWeight) {
			home, homeWeight = c.id, weight
		}
		switch {
		case c.barred:
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = c.runner, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = c.runner, weight
		}
	}
	return first, second, home
}

func weightOf(key uint64, id string) uint64 {
	hash := fnv.New64a()
	var word [8]byte
	for i := range word {
		word[i] = byte(key >> (8 * i))
	}
	hash.Write(word[:])
	hash.Write([]byte(id))
	return spread.Mix(hash.Sum64())
}

func fade(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}
