package core

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

// How the pauses between the events of streams are judged.
const (
	pausesHalf  = 2 * time.Second        // the weight of a pause halves in this time
	pausesLeast = 3.0                    // weighted pauses from which on a runner is judged
	calmPart    = 2                      // one runner of so many of a service counts as calm
	listFor     = 200 * time.Millisecond // one list is told for so long
)

// runnerPauses adds up how long runners let streams wait for their next event, as all routers saw it. What runs beside
// a stream shows in its pauses; in a large fleet one router sees too few of them to tell the runners apart.
type runnerPauses struct {
	mu      sync.Mutex
	runners weightedSums // of pauses, and of their milliseconds
	list    []string     // of calm runners, as last told
	listed  time.Time
}

// note adds one router's tallies.
func (p *runnerPauses) note(tallies []coreapi.RunnerStats, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tally := range tallies {
		if tally.TokenGaps > 0 && tally.TokenGapsMs >= 0 {
			p.runners.add(tally.ID, pausesHalf, tally.TokenGaps, tally.TokenGapsMs, now)
		}
	}
}

// calm lists the runners of each service whose streams have the shortest pauses, sorted by ID. Runners that are not
// ready, or of which too little was seen, are none of them.
func (p *runnerPauses) calm(runners func(time.Time) []routing.Runner, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed.IsZero() && now.Sub(p.listed) < listFor {
		return p.list
	}
	known := runners(now)
	p.forget(known)
	byService := map[string][]pausingRunner{}
	for _, runner := range known {
		seen := p.runners[runner.ID]
		if seen == nil || runner.State != routing.RunnerReady {
			continue
		}
		if seen.fade(now); seen.count >= pausesLeast {
			byService[runner.Service] = append(byService[runner.Service], pausingRunner{runner.ID, seen.mean()})
		}
	}
	p.list, p.listed = nil, now
	for _, measured := range byService {
		p.list = append(p.list, calmest(measured)...)
	}
	slices.Sort(p.list)
	return p.list
}

// pausingRunner is a runner with the mean pause of its streams, in milliseconds.
type pausingRunner struct {
	id   string
	mean float64
}

// calmest gives the IDs of the runners with the shortest pauses.
func calmest(measured []pausingRunner) []string {
	slices.SortFunc(measured, func(a, b pausingRunner) int { return cmp.Compare(a.mean, b.mean) })
	ids := make([]string, 0, len(measured)/calmPart)
	for _, runner := range measured[:len(measured)/calmPart] {
		ids = append(ids, runner.id)
	}
	return ids
}

// forget drops runners that are not known any longer. The caller holds the lock.
func (p *runnerPauses) forget(known []routing.Runner) {
	if len(p.runners) <= len(known) {
		return
	}
	still := make(map[string]bool, len(known))
	for i := range known {
		still[known[i].ID] = true
	}
	for id := range p.runners {
		if !still[id] {
			delete(p.runners, id)
		}
	}
}
