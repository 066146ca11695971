package core

import (
	"math"
	"sort"
	"sync"
	"time"
)

// How the attempts of all routers at a runner are judged.
const (
	healthHalf   = time.Second // the weight of an attempt halves in this time
	failingLeast = 1.0         // weighted failures from which on a runner may count as failing
	failingShare = 0.2         // of the weighted attempts
	healthForget = 0.05        // weighted attempts below which a runner is forgotten
)

// runnerHealth adds up what routers saw of runners' answers. In a large fleet each router meets a runner
// seldom: alone, each would lose a request of its own before it knows that the runner fails.
type runnerHealth struct {
	mu      sync.Mutex
	runners map[string]*weightedTally
}

// weightedTally is the weighted sum of attempts at one runner, as of a moment.
type weightedTally struct {
	attempts, failures float64
	at                 time.Time
}

// decay is what is left of a weight after some time, where it halves in each span of another.
func decay(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }

// fade lowers the weights to a moment's.
func (r *weightedTally) fade(now time.Time) {
	factor := decay(now.Sub(r.at), healthHalf)
	r.attempts, r.failures, r.at = r.attempts*factor, r.failures*factor, now
}

// note adds one router's tallies.
func (h *runnerHealth) note(tallies []RunnerTally, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners == nil {
		h.runners = map[string]*weightedTally{}
	}
	for _, tally := range tallies {
		known := h.runners[tally.ID]
		if known == nil {
			known = &weightedTally{at: now}
			h.runners[tally.ID] = known
		}
		known.fade(now)
		known.attempts += float64(max(tally.Attempts, tally.Failures))
		known.failures += float64(tally.Failures)
	}
}

// failing lists the runners that fail, sorted by ID.
func (h *runnerHealth) failing(now time.Time) []FailingRunner {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []FailingRunner
	for id, known := range h.runners {
		known.fade(now)
		if known.attempts < healthForget {
			delete(h.runners, id)
			continue
		}
		if share := known.failures / known.attempts; known.failures >= failingLeast && share >= failingShare {
			out = append(out, FailingRunner{ID: id, Share: share})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
