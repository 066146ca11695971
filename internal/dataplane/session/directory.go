// Package session keeps the session directory: which runners hold a session's context (its KV cache), where
// that is not what every router works out anyway by rendezvous hashing. Routers tell each other their
// entries; of two entries of one session the one with the higher version stands. What is kept here decides
// only which runner is asked first, never whether a request may be sent.
package session

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// HoldersMost is how many runners an entry names: a hot session may have a second holder.
const MaxHolders = 2

const (
	goneMost = 1024 // runners remembered as gone, so that late entries do not name them again
	takeMost = 1024 // entries of one announcement; the rest goes with the next one
)

// Entry says which runners hold a session's context.
type Entry struct {
	Session uint64
	Version uint64   // counted up by whoever changes it: no clock decides which entry is the newer
	Holders []string // ids of runners, the newest holder first
}

// newer reports whether a replaces b. Entries with one version are ordered by their holders, so that all
// routers keep the same one.
func newer(a, b Entry) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return slices.Compare(a.Holders, b.Holders) > 0
}

// Directory is one router's copy of the session directory. Its methods may be called by many at once.
type Directory struct {
	most int
	now  func() time.Time

	mu      sync.Mutex
	entries map[uint64]*list.Element
	recent  *list.List           // of Entry, the one used last in front
	pending map[uint64]uint64    // sessions whose entry is still to be told, with the version told last
	queue   []uint64             // the same in the order in which they came, and some that are told already
	changed map[uint64]time.Time // when an entry came to stand here
	highest uint64               // version seen so far, of any session
	gone    map[string]struct{}
	goneIDs []string // the same, the oldest first
	changes uint64
}

// New makes an empty directory of at most so many sessions; the one used longest ago is dropped.
func New(most int) *Directory {
	return &Directory{most: most, now: time.Now, entries: map[uint64]*list.Element{}, recent: list.New(),
		pending: map[uint64]uint64{}, changed: map[uint64]time.Time{}, gone: map[string]struct{}{}}
}

// Lookup gives the entry of a session. Its holders must not be changed.
func (d *Directory) Lookup(session uint64) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	element := d.entries[session]
	if element == nil {
		return Entry{}, false
	}
	d.recent.MoveToFront(element)
	return element.Value.(Entry), true
}

// Age is how long ago a session's entry came to stand in this router's copy.
func (d *Directory) Age(session uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.changed[session])
}

// Len counts the sessions that have an entry.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent.Len()
}

// Changes counts the changes so far: who has seen it before can tell whether anything has moved since.
func (d *Directory) Changes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// Record notes what this router found: these runners hold the session, the newest holder first. The other
// routers are told with the next announcement, unless they know it.
func (d *Directory) Record(session uint64, holders ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	holders = d.alive(holders)
	if len(holders) == 0 {
		return
	}
	version, told := d.highest+1, uint64(0)
	if element := d.entries[session]; element != nil {
		known := element.Value.(Entry)
		if slices.Equal(known.Holders, holders) {
			return
		}
		told = known.Version
	}
	d.put(Entry{Session: session, Version: version, Holders: holders})
	if _, waits := d.pending[session]; !waits {
		d.pending[session] = told
		d.queue = append(d.queue, session)
	}
}

// Merge takes what other routers told, and counts the entries that were new.
func (d *Directory) Merge(entries []Entry) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := 0
	for _, entry := range entries {
		if d.merge(entry) {
			taken++
		}
	}
	return taken
}

// merge takes one entry of another router. The caller holds the lock.
func (d *Directory) merge(entry Entry) bool {
	entry.Holders = d.alive(entry.Holders)
	if len(entry.Holders) == 0 {
		return false
	}
	if element := d.entries[entry.Session]; element != nil {
		known := element.Value.(Entry)
		told, waits := d.pending[entry.Session]
		// Where another router has told the same before us, its entry does for ours: unless we have passed
		// over a newer one for the sake of ours.
		sameWord := waits && entry.Version > told && slices.Equal(known.Holders, entry.Holders)
		if !sameWord && !newer(entry, known) {
			if waits {
				d.pending[entry.Session] = max(told, entry.Version)
			}
			return false
		}
	}
	delete(d.pending, entry.Session)
	d.put(entry)
	return true
}

// put stores an entry and drops the one used longest ago where there are too many. The caller holds the lock.
func (d *Directory) put(entry Entry) {
	d.changes++
	d.highest = max(d.highest, entry.Version)
	d.changed[entry.Session] = d.now()
	if element := d.entries[entry.Session]; element != nil {
		element.Value = entry
		d.recent.MoveToFront(element)
		return
	}
	for d.recent.Len() >= d.most {
		d.drop(d.recent.Back())
	}
	d.entries[entry.Session] = d.recent.PushFront(entry)
}

func (d *Directory) drop(element *list.Element) {
	d.changes++
	session := element.Value.(Entry).Session
	delete(d.entries, session)
	delete(d.changed, session)
	delete(d.pending, session)
	d.recent.Remove(element)
}

// alive gives the runners that are not known to be gone, HoldersMost at most. The caller holds the lock.
func (d *Directory) alive(holders []string) []string {
	var out []string
	for _, runner := range holders {
		if _, gone := d.gone[runner]; !gone && len(out) < MaxHolders && !slices.Contains(out, runner) {
			out = append(out, runner)
		}
	}
	return out
}

// RemoveRunners takes runners that have left for good out of all entries. A runner's id is never used again.
func (d *Directory) RemoveRunners(runners ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := false
	for _, runner := range runners {
		if _, known := d.gone[runner]; known {
			continue
		}
		fresh = true
		d.gone[runner] = struct{}{}
		d.goneIDs = append(d.goneIDs, runner)
	}
	if !fresh {
		return
	}
	for next := d.recent.Front(); next != nil; {
		element := next
		next = next.Next()
		entry := element.Value.(Entry)
		if entry.Holders = d.alive(entry.Holders); len(entry.Holders) == 0 {
			d.drop(element)
			continue
		}
		element.Value = entry
	}
	for len(d.goneIDs) > goneMost {
		delete(d.gone, d.goneIDs[0])
		d.goneIDs = d.goneIDs[1:]
	}
}

// TakeUpdates gives the entries that the other routers are to be told now, in the order in which they came.
func (d *Directory) DrainUpdates() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Entry
	for len(d.queue) > 0 && len(out) < takeMost {
		session := d.queue[0]
		d.queue = d.queue[1:]
		if _, waits := d.pending[session]; !waits {
			continue
		}
		delete(d.pending, session)
		out = append(out, d.entries[session].Value.(Entry))
	}
	if len(d.queue) == 0 {
		d.queue = nil
	}
	return out
}

// Newest gives at most so many entries, those used last, of these the one used longest ago first: a router
// that merges them in this order drops the same ones as this router.
func (d *Directory) Newest(most int) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Entry, 0, max(0, min(most, d.recent.Len())))
	for element := d.recent.Front(); element != nil && len(out) < most; element = element.Next() {
		out = append(out, element.Value.(Entry))
	}
	slices.Reverse(out)
	return out
}
