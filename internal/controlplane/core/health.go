package core

import (
	"sort"
	"sync"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
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
	runners weightedSums // of attempts, and of failures among them
}

// note adds one router's tallies.
func (h *runnerHealth) note(tallies []coreapi.RunnerStats, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, tally := range tallies {
		h.runners.add(tally.ID, healthHalf, max(tally.Attempts, tally.Failures), tally.Failures, now)
	}
}

// failing lists the runners that fail, sorted by ID.
func (h *runnerHealth) failing(now time.Time) []coreapi.FailingRunner {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []coreapi.FailingRunner
	for id, known := range h.runners {
		known.fade(now)
		if known.count < healthForget {
			delete(h.runners, id)
			continue
		}
		if share := known.mean(); known.amount >= failingLeast && share >= failingShare {
			out = append(out, coreapi.FailingRunner{ID: id, Share: share})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
