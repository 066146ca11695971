package balance

import (
	"container/list"
	"strings"
	"sync"
)

// recentSession is a session that this router recently served at its affinity target.
type recentSession struct {
	id      uint64
	service string
	model   string
	key     uint64
	runner  string
}

// recentSessions is a bounded LRU set of sessions that this router served at their affinity target. It is needed if
// another runner becomes the target; until then the other routers need no entry for them. mu guards its fields.
type recentSessions struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[uint64]*list.Element
	order      *list.List // of recentSession, most recently served first
}

func newRecentSessions(maxEntries int) *recentSessions {
	return &recentSessions{maxEntries: maxEntries, entries: map[uint64]*list.Element{}, order: list.New()}
}

// record adds or refreshes a session, and evicts the least recently served one if there are too many.
func (r *recentSessions) record(id uint64, served recentSession) {
	served.id = id
	r.mu.Lock()
	defer r.mu.Unlock()
	if element := r.entries[id]; element != nil {
		known := element.Value.(recentSession)
		if known.runner != served.runner {
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
	served.model = strings.Clone(served.model) // a substring of a header, which must not stay in memory
	r.entries[id] = r.order.PushFront(served)
}

// get looks up a session.
func (r *recentSessions) get(id uint64) (recentSession, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element := r.entries[id]
	if element == nil {
		return recentSession{}, false
	}
	return element.Value.(recentSession), true
}

// remove deletes a session if it is present.
func (r *recentSessions) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if element := r.entries[id]; element != nil {
		delete(r.entries, id)
		r.order.Remove(element)
	}
}

// all lists the sessions, least recently served first.
func (r *recentSessions) all() []recentSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]recentSession, 0, r.order.Len())
	for element := r.order.Back(); element != nil; element = element.Prev() {
		out = append(out, element.Value.(recentSession))
	}
	return out
}
