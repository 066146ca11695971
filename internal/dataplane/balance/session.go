package balance

import (
	"container/list"
	"slices"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/model/routing"
)

const (
	maxDirectorySessions = 1 << 15 // sessions in the directory
	maxRecentSessions    = 1 << 14 // sessions that this router remembers as served at their home
	// sessionLeast is how many shared tokens make a session worth an entry: below it reading them again costs
	// less than telling all routers.
	minSessionTokens = 128
	// settle is how long an entry whose holders are all ready stands before another runner takes a place in it:
	// a session in use at many runners at once does not become news all the time.
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
	return rendezvousWeight(key, service+"\x00"+model) | 1 // 0 is no session
}

// holds reports whether the runner is an announced holder of the session.
func (s *sessionRef) isHeldBy(id string) bool { return slices.Contains(s.holders, id) }

// expected gives the runner that is taken for the session's holder although nobody is known to have sent it
// there: the first choice, unless a known holder can be used.
func (s *sessionRef) presumedHolder(candidates []candidate, first *Runner) *Runner {
	for i := range candidates {
		if !candidates[i].ejected && s.isHeldBy(candidates[i].id) {
			return nil
		}
	}
	return first
}

// noteHolder takes note that a runner holds the session's context now: it has answered. The other routers are
// told where they would not look for it there.
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

// takePlace puts a runner into a session's entry that names others.
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

// Added gives a signal when a runner has become ready: it is time for Rehome.
func (b *Balancer) Added() <-chan struct{} { return b.wake }

// noteAdded notes a runner that has become ready. The caller holds the lock.
func (b *Balancer) recordAdded(runner *Runner) {
	b.added = append(b.added, runner)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Rehome looks, after runners were added, for sessions that this router served at their home and whose home
// is one of those now: their old runner becomes an announced holder. It is called now and then; where no runner
// was added it does nothing.
func (b *Balancer) RefreshAffinity() {
	added := b.takeAdded()
	if len(added) == 0 {
		return
	}
	for _, remembered := range b.recent.all() {
		if !remembered.changesTarget(added) {
			continue
		}
		if _, known := b.Sessions.Lookup(remembered.id); !known && len(b.readyOf([]string{remembered.holder})) > 0 {
			b.Sessions.Record(remembered.id, remembered.holder)
		}
		b.recent.forget(remembered.id)
	}
}

// takeAdded gives the runners that have become ready since the last call.
func (b *Balancer) takeAdded() []routing.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []routing.Runner
	for _, runner := range b.added {
		if info := runner.Info(); info.State == routing.RunnerReady {
			out = append(out, info)
		}
	}
	b.added = nil
	return out
}

// moves reports whether one of the added runners is the session's home rather than its holder.
func (s *recentSession) changesTarget(added []routing.Runner) bool {
	weight := rendezvousWeight(s.key, s.holder)
	for i := range added {
		runner := &added[i]
		if runner.ID != s.holder && runner.Service == s.service && servesModel(runner, s.model) && rendezvousWeight(s.key, runner.ID) > weight {
			return true
		}
	}
	return false
}

// home is the ready runner with the highest weight for a key, whatever this router thinks of its condition:
// all routers with the same list of runners work out the same one.
func (b *Balancer) affinityTarget(service, model string, key uint64) string {
	var best string
	var bestWeight uint64
	for _, runner := range b.Runners(service) {
		runner.mu.Lock()
		id, fits := runner.info.ID, runner.info.State == routing.RunnerReady && servesModel(&runner.info, model)
		runner.mu.Unlock()
		if !fits {
			continue
		}
		if weight := rendezvousWeight(key, id); best == "" || weight > bestWeight {
			best, bestWeight = id, weight
		}
	}
	return best
}

// recentSession is a session that this router lately served at its home.
type recentSession struct {
	id      uint64
	service string
	model   string
	key     uint64
	holder  string
}

// recentSessions remembers the sessions that this router served at their home, in case that it becomes
// another one. Nobody needs to be told of them until then.
type recentSessions struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[uint64]*list.Element
	order      *list.List // of recentSession, the one served last in front
}

func newRecentSessions(most int) *recentSessions {
	return &recentSessions{maxEntries: most, entries: map[uint64]*list.Element{}, order: list.New()}
}

func (r *recentSessions) record(id uint64, served recentSession) {
	served.id = id
	r.mu.Lock()
	defer r.mu.Unlock()
	if element := r.entries[id]; element != nil {
		known := element.Value.(recentSession)
		if known.holder != served.holder {
			element.Value = served
		}
		r.order.MoveToFront(element)
		return
	}
	if r.order.Len() >= r.maxEntries {
		oldest := r.order.Back()
		delete(r.entries, oldest.Value.(recentSession).id)
		r.order.Remove(oldest)
	}
	served.model = strings.Clone(served.model) // it is a part of a header, which is not to stay
	r.entries[id] = r.order.PushFront(served)
}

func (r *recentSessions) get(id uint64) (recentSession, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element := r.entries[id]
	if element == nil {
		return recentSession{}, false
	}
	return element.Value.(recentSession), true
}

func (r *recentSessions) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if element := r.entries[id]; element != nil {
		delete(r.entries, id)
		r.order.Remove(element)
	}
}

// all lists the sessions, the one served longest ago first.
func (r *recentSessions) all() []recentSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]recentSession, 0, r.order.Len())
	for element := r.order.Back(); element != nil; element = element.Prev() {
		out = append(out, element.Value.(recentSession))
	}
	return out
}
