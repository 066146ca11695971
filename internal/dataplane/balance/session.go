package balance

import (
	"slices"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

const (
	maxDirectorySessions = 1 << 15 // capacity of the session directory
	maxRecentSessions    = 1 << 14 // capacity of recentSessions
	// minSessionTokens is the minimum number of shared tokens for a directory entry. Below it, prefilling them again
	// costs less than announcing the entry to all routers.
	minSessionTokens = 128
	// minEntryAge is the minimum age of a full entry of ready runners before one of them is replaced, so that a session
	// in use at many runners at once does not cause constant updates.
	minEntryAge = 2 * time.Second
)

// sessionRef identifies a session across all routers, and lists the runners that are expected to have its context
// cached.
type sessionRef struct {
	id             uint64 // 0: the request has no session, or its context is too small
	service        string
	model          string
	key            uint64
	affinityTarget string   // ID of the runner that every router computes; "": none is ready
	runners        []string // IDs from the directory entry, else the one in recentSessions
}

// sessionRefFor identifies the session of a request and looks up the runners that have its context cached.
func (b *Balancer) sessionRefFor(request *Request, key uint64, shared int) sessionRef {
	if len(request.Parts) < 2 || shared < minSessionTokens {
		return sessionRef{}
	}
	ref := sessionRef{id: sessionID(request.Service, request.Model, key), service: request.Service, model: request.Model, key: key}
	if entry, known := b.Sessions.Lookup(ref.id); known {
		ref.runners = entry.Runners
	} else if remembered, known := b.recent.get(ref.id); known {
		ref.runners = []string{remembered.runner}
	}
	return ref
}

// sessionID returns the ID of a session in the directory. The same text at two services or models is two contexts.
func sessionID(service, model string, key uint64) uint64 {
	return hashing.RendezvousWeight(key, service+"\x00"+model) | 1 // never 0, which means no session
}

// isCachedOn reports whether the runner is expected to have the session's context cached.
func (s *sessionRef) isCachedOn(id string) bool { return slices.Contains(s.runners, id) }

// presumedRunner returns the runner that is assumed to have the context cached without any record of it: the first
// choice of rendezvous hashing, unless a runner on record is among the candidates and not ejected.
func (s *sessionRef) presumedRunner(candidates []candidate, preferred *Runner) *Runner {
	for i := range candidates {
		if !candidates[i].ejected && s.isCachedOn(candidates[i].id) {
			return nil
		}
	}
	return preferred
}

// recordSessionRunner records that a runner has the session's context cached, because it has answered. It is announced
// to the other routers unless they expect the context there anyway.
func (b *Balancer) recordSessionRunner(ref *sessionRef, id string) {
	entry, known := b.Sessions.Lookup(ref.id)
	switch {
	case known && slices.Contains(entry.Runners, id):
		return
	case known:
		b.replaceSessionRunner(id, entry)
	case id == ref.affinityTarget:
		b.recent.record(ref.id, recentSession{service: ref.service, model: ref.model, key: ref.key, runner: id})
		return
	default:
		// Previous runners on record still have the context cached.
		b.Sessions.Record(ref.id, append([]string{id}, b.filterReady(ref.runners)...)...)
	}
	b.recent.remove(ref.id)
}

// replaceSessionRunner puts a runner first in an existing entry of a session, unless the entry is full and too recent.
func (b *Balancer) replaceSessionRunner(id string, entry session.Entry) {
	ready := b.filterReady(entry.Runners)
	if len(ready) == session.MaxRunners && b.Sessions.Age(entry.Session) < minEntryAge {
		return
	}
	b.Sessions.Record(entry.Session, append([]string{id}, ready...)...)
}

// filterReady returns the IDs of those runners that are ready.
func (b *Balancer) filterReady(ids []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, id := range ids {
		if runner := b.byID[id]; runner != nil && runner.Info().State == routing.RunnerReady {
			ready = append(ready, id)
		}
	}
	return ready
}
