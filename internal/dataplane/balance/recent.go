package balance

import (
	"container/list"
	"strings"
	"sync"
)

// recentSession is a session that this router lately served at its affinity target.
type recentSession struct {
	id      uint64
	service string
	model   string
	key     uint64
	holder  string
}

// recentSessions remembers the sessions that this router served at their affinity target, in case that it becomes another
// one. No other router needs to know of them until then. mu guards its fields.
type recentSessions struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[uint64]*list.Element
	order      *list.List // of recentSession, the one served last in front
}

func newRecentSessions(most int) *recentSessions {
	return &recentSessions{maxEntries: most, entries: map[uint64]*list.Element{}, order: list.New()}
}

// record remembers a session, and forgets the one served longest ago where there are too many.
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

// get gives a remembered session.
func (r *recentSessions) get(id uint64) (recentSession, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element := r.entries[id]
	if element == nil {
		return recentSession{}, false
	}
	return element.Value.(recentSession), true
}

// forget forgets a session, if it is known.
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
