// Package balance chooses the runner of each request: the one that is expected to answer first, judged by
// what it keeps of the prompt, by the wait that this router measures there, and by its failures.
package balance

import (
	"hash/fnv"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/routing"
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

	mu        sync.Mutex // over changes of the set
	next      int
	byID      map[string]*Runner
	byService atomic.Pointer[map[string][]*Runner]
	turn      atomic.Uint64
}

// New makes a balancer of a router in a zone.
func New(zone string) *Balancer {
	b := &Balancer{zone: zone, cache: NewPrefixCache(prefixEntries), byID: map[string]*Runner{}}
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
	services := map[string][]*Runner{}
	for _, info := range list {
		known[info.ID] = true
		runner := b.byID[info.ID]
		if runner == nil {
			runner = newRunner(b.next, info, now)
			b.next++
			b.byID[info.ID] = runner
		}
		runner.mu.Lock()
		runner.info = info
		runner.mu.Unlock()
		services[info.Service] = append(services[info.Service], runner)
	}
	for id := range b.byID {
		if !known[id] {
			delete(b.byID, id)
		}
	}
	b.byService.Store(&services)
}

// Runners lists the known runners of a service.
func (b *Balancer) Runners(service string) []*Runner { return (*b.byService.Load())[service] }

// Misplaced notes that another runner has the address of this one: it is gone.
func (b *Balancer) Misplaced(runner *Runner) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.info.State = routing.RunnerGone
}

// Choose picks the runner that is expected to answer first and counts the request as sent to it. Nil:
// there is none that may be sent anything.
func (b *Balancer) Choose(request Request) *Attempt {
	now := time.Now()
	runners := b.Runners(request.Service)
	key, shared := affinity(request.Parts)
	held := b.cache.Match(request.Parts)
	var best, last *Runner
	bestCost, lastCost, bestRead := math.Inf(1), math.Inf(1), 0
	home := rendezvous(runners, key, request.Model)
	for _, runner := range runners {
		if request.Tried[runner.Index] {
			continue
		}
		runner.mu.Lock()
		usable, barred := runner.usable(request.Model, now)
		if !usable {
			runner.mu.Unlock()
			continue
		}
		kept := held[runner.Index]
		if runner == home {
			kept = max(kept, shared)
		}
		read := request.Input - kept
		cost := runner.cost(max(0, read), b.zone, now) + readAgainMs*float64(max(0, shared-kept))
		if request.Output > request.Input {
			cost += longGapWeight * runner.gapMs
		}
		runner.mu.Unlock()
		if barred {
			if cost < lastCost {
				last, lastCost = runner, cost
			}
			continue
		}
		// Among equals the turn goes round, so that routers do not all begin with the same runner.
		if cost < bestCost || cost == bestCost && b.turn.Add(1)%2 == 0 {
			best, bestCost, bestRead = runner, cost, max(0, read)
		}
	}
	if best == nil {
		best, bestRead = last, request.Input
	}
	if best == nil {
		return nil
	}
	b.cache.Note(request.Parts, best.Index)
	return best.begin(bestRead, now)
}

// usable tells whether the runner may be sent a request at all, and whether only as a last resort. The
// caller holds the lock.
func (r *Runner) usable(model string, now time.Time) (usable, barred bool) {
	if r.info.State != routing.RunnerReady && r.info.State != routing.RunnerSilent {
		return false, false
	}
	if model != "" && len(r.info.Models) > 0 && !r.serves(model) {
		return false, false
	}
	barred = r.info.State == routing.RunnerSilent || now.Before(r.barredUntil) || r.silent(now) ||
		r.failures > 0 && len(r.open) > 0 // after its failure one request tries whether it serves again
	return true, barred
}

func (r *Runner) serves(model string) bool {
	for _, m := range r.info.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// Weights of what the cost adds up, in milliseconds.
const (
	failureCostMs  = 400.0 // of a runner that fails each request
	fullCostMs     = 200.0 // of one that just said it is full
	fullSpan       = 150 * time.Millisecond
	otherZoneMs    = 1.5 // a request to another zone costs bytes between zones and a longer way
	decodeCostMs   = 1.5 // for each stream under way there
	silenceCostMs  = 1000.0
	requestCostMs  = 4.0 // for each whole answer under way on an ordinary service
	warmupCostPart = 0.6
	// longGapWeight is what a millisecond between events costs where more comes out than goes in: such an
	// answer is late by its pauses rather than by its first event.
	longGapWeight = 4.0
	// readAgainMs is what a shared token costs that the runner has to read though another one keeps it: more
	// than the time of the reading, since it takes that time from all other requests of the fleet. A session
	// of some thousand tokens leaves its runner for a wait that endangers the usual aims, not for a few
	// milliseconds.
	readAgainMs = 0.02
)

// cost estimates the time to the first byte, in milliseconds. The caller holds the lock.
func (r *Runner) cost(read int, zone string, now time.Time) float64 {
	cost := r.fadedWait(now) + float64(r.promptOpen+read)/r.rate()
	cost += r.fadedFailures(now) * failureCostMs
	if read > 0 || r.promptOpen > 0 {
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

// affinity gives the key by which all routers pick the same runner for a session, and how many tokens of
// the prompt that runner is expected to keep.
func affinity(parts []Part) (key uint64, shared int) {
	if len(parts) == 0 {
		return 0, 0
	}
	last := len(parts) - 1
	for i := 0; i <= last; i++ {
		if i < last || last == 0 {
			shared += parts[i].Tokens
		}
		if i < last || last == 0 {
			key = parts[i].ID
		}
	}
	return key, shared
}

// rendezvous picks the runner with the highest weight for a key: every router works out the same one, and
// a change of the set moves only the keys of the runner that came or went.
func rendezvous(runners []*Runner, key uint64, model string) *Runner {
	if key == 0 {
		return nil
	}
	var best *Runner
	var bestWeight uint64
	for _, runner := range runners {
		runner.mu.Lock()
		ready := runner.info.State == routing.RunnerReady && (model == "" || len(runner.info.Models) == 0 || runner.serves(model))
		id := runner.info.ID
		runner.mu.Unlock()
		if !ready {
			continue
		}
		if weight := weightOf(key, id); best == nil || weight > bestWeight {
			best, bestWeight = runner, weight
		}
	}
	return best
}

func weightOf(key uint64, id string) uint64 {
	hash := fnv.New64a()
	var word [8]byte
	for i := range word {
		word[i] = byte(key >> (8 * i))
	}
	hash.Write(word[:])
	hash.Write([]byte(id))
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

func fade(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}
