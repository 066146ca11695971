package balance

import (
	"slices"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

const (
	maxDirectorySessions = 1 << 15 // sessions in the directory
	maxRecentSessions    = 1 << 14 // sessions that this router remembers as served at their affinity target
	// minSessionTokens is how many shared tokens make a session worth an entry: below it reading them again costs less than
	// announcing it to all routers.
	minSessionTokens = 128
	// minEntryAge is how long an entry whose holders are all ready stands before another runner replaces one of them: a
	// session in use at many runners at once does not cause updates all the time.
	minEntryAge = 2 * time.Second
)

// sessionRef is a session as all routers name it, and where its context is expected.
type sessionRef struct {
	id             uint64 // 0: the request belongs to no session that is worth an entry
	service        string
	model          string
	key            uint64
	affinityTarget string   // the runner that every router works out; "": none is ready
	holders        []string // those announced, or the one that this router remembers
}

// session names the session that a request belongs to and looks up its holders.
func (b *Balancer) session(request *Request, key uint64, shared int) sessionRef {
	if len(request.Parts) < 2 || shared < minSessionTokens {
		return sessionRef{}
	}
	ref := sessionRef{id: sessionID(request.Service, request.Model, key), service: request.Service, model: request.Model, key: key}
	if entry, known := b.Sessions.Lookup(ref.id); known {
		ref.holders = entry.Runners
	} else if remembered, known := b.recent.get(ref.id); known {
		ref.holders = []string{remembered.holder}
	}
	return ref
}

// sessionID is a session's id in the directory: one text at two services or models is two contexts.
func sessionID(service, model string, key uint64) uint64 {
	return hashing.RendezvousWeight(key, service+"\x00"+model) | 1 // 0 is no session
}

// isHeldBy reports whether the runner is an announced holder of the session.
func (s *sessionRef) isHeldBy(id string) bool { return slices.Contains(s.holders, id) }

// presumedHolder gives the runner that is taken for the session's holder although nobody is known to have sent it
// there: the first choice, unless a known holder can be used.
func (s *sessionRef) presumedHolder(candidates []candidate, first *Runner) *Runner {
	for i := range candidates {
		if !candidates[i].ejected && s.isHeldBy(candidates[i].id) {
			return nil
		}
	}
	return first
}

// recordHolder records that a runner holds the session's context now: it has answered. It is announced to the other routers
// where they would not look for it there.
func (b *Balancer) recordHolder(ref *sessionRef, id string) {
	entry, known := b.Sessions.Lookup(ref.id)
	switch {
	case known && slices.Contains(entry.Runners, id):
		return
	case known:
		b.replaceHolder(id, entry)
	case id == ref.affinityTarget:
		b.recent.record(ref.id, recentSession{service: ref.service, model: ref.model, key: ref.key, holder: id})
		return
	default:
		// The one before keeps it too, as far as this router knows of one.
		b.Sessions.Record(ref.id, append([]string{id}, b.readyOf(ref.holders)...)...)
	}
	b.recent.forget(ref.id)
}

// replaceHolder puts a runner into a session's entry that names others.
func (b *Balancer) replaceHolder(id string, entry session.Entry) {
	ready := b.readyOf(entry.Runners)
	if len(ready) == session.MaxRunners && b.Sessions.Age(entry.Session) < minEntryAge {
		return
	}
	b.Sessions.Record(entry.Session, append([]string{id}, ready...)...)
}

// readyOf gives those of the runners that may be sent requests.
func (b *Balancer) readyOf(ids []string) []string {
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
