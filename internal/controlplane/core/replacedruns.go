package core

import (
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// holderPlace is the part of a holder's name that all runs of a node at one address share.
func holderPlace(n coreapi.Node) string { return n.Name + "@" + n.Addr }

// flightTime covers the way of the last requests that a process sent before its end.
const flightTime = 50 * time.Millisecond

// replacedRuns gathers the places whose earlier runs have ended. After a restart of the whole fleet there are
// as many as routers, and each would have all pools written anew.
type replacedRuns struct {
	mu   sync.Mutex
	runs map[string]replacedRun // by place
}

// replacedRun is the run that took a place, and when the ones before it had ended at the latest.
type replacedRun struct {
	holder string
	ended  time.Time
}

// replacedGatherSpan is how long places are gathered.
const replacedGatherSpan = 20 * time.Millisecond

// add notes a place's new run, and reports whether it is the first since the last take.
func (r *replacedRuns) add(place string, run replacedRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]replacedRun{}
	}
	r.runs[place] = run
	return len(r.runs) == 1
}

// take gives what was gathered.
func (r *replacedRuns) take() map[string]replacedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs
	r.runs = nil
	return runs
}

// replaceHolder sets the units of earlier runs at a node's address cooling, with those of others that start
// at the same time. They ended before the new run began, so their last spends are at least as old as the new
// run.
func (s *Server) replaceHolder(n coreapi.Node, age time.Duration) {
	run := replacedRun{holder: coreapi.Holder(n), ended: time.Now().Add(flightTime - quota.Margin - age)}
	if s.replaced.add(holderPlace(n), run) {
		time.AfterFunc(replacedGatherSpan, func() { s.submitLater(s.coolReplaced) })
	}
}

// coolReplaced sets the units of all runs that were replaced cooling. Only the run loop calls it.
func (s *Server) coolReplaced(tx *transaction.Tx) error {
	runs := s.replaced.take()
	replacedBy := func(holder string) (replacedRun, bool) {
		place, _, _ := strings.Cut(holder, "/")
		run, known := runs[place]
		return run, known && holder != run.holder
	}
	return s.updatePools(tx, func(tenant string, pool *quota.Pool) bool {
		changed := false
		for holder := range pool.Allocations {
			if _, replaced := replacedBy(holder); replaced {
				changed = pool.StartCooling(holder) || changed
			}
		}
		for holder := range pool.Cooling {
			if run, replaced := replacedBy(holder); replaced {
				s.coolSince(tenant, holder, run.ended)
			}
		}
		return changed
	})
}

// coolSince notes since when a holder's units cool at the latest. Only the run loop calls it.
func (s *Server) coolSince(tenant, holder string, at time.Time) {
	key := coolKey(tenant, holder)
	if known, ok := s.firstSeen[key]; !ok || at.Before(known) {
		s.firstSeen[key] = at
	}
}

// coolKey names a holder's cooling units among what is aged.
func coolKey(tenant, holder string) string { return "cool/" + tenant + "/" + holder }
