// Package session implements the session directory: which runners have a session's context in their KV cache, for sessions
// whose runners differ from those that every router computes by rendezvous hashing. Each router has a replica of the
// directory and sends its changes to the others. Of two entries of one session the one with the higher version wins. The
// directory decides only which runner is tried first, never whether a request may be sent.
package session

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Directory is one router's replica of the session directory. Its methods may be called concurrently.
type Directory struct {
	capacity int              // maximum number of entries
	now      func() time.Time // monotonic

	mu         sync.Mutex // guards the fields below
	entries    map[uint64]*list.Element
	recent     *list.List           // of Entry, the most recently used one in front
	changedAt  map[uint64]time.Time // by session, when its entry was last stored
	updates    updateQueue
	departed   departedRunners
	maxVersion uint64 // highest version of any entry stored so far
	changes    uint64 // see Changes
}

// New returns an empty directory of at most capacity sessions. Beyond that it evicts the least recently used one.
func New(capacity int) *Directory {
	return &Directory{capacity: capacity, now: time.Now, entries: map[uint64]*list.Element{}, recent: list.New(),
		changedAt: map[uint64]time.Time{}, updates: newUpdateQueue(), departed: newDepartedRunners()}
}

// Lookup returns the entry of a session and marks it as the most recently used one.
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

// Age returns the time since a session's entry was last stored in this replica.
func (d *Directory) Age(session uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.changedAt[session])
}

// Len returns the number of entries.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent.Len()
}

// Changes returns how many times an entry was stored or dropped. Callers compare two counts to detect changes in between.
func (d *Directory) Changes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// Record stores this router's observation that runners have the session's context cached, the one that got it last first.
// Unless the directory has the same entry already, it is queued for the other routers.
func (d *Directory) Record(session uint64, runners ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	runners = d.departed.filterOut(runners)
	if len(runners) == 0 {
		return
	}
	version, replaced := d.maxVersion+1, uint64(0)
	if element := d.entries[session]; element != nil {
		known := element.Value.(Entry)
		if slices.Equal(known.Runners, runners) {
			return
		}
		replaced = known.Version
	}
	d.put(Entry{Session: session, Version: version, Runners: runners})
	d.updates.add(session, replaced)
}

// Merge applies entries of other routers and returns how many of them it stored.
func (d *Directory) Merge(entries []Entry) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	merged := 0
	for _, entry := range entries {
		if d.merge(entry) {
			merged++
		}
	}
	return merged
}

// merge applies one entry of another router and reports whether it was stored. The caller holds the lock.
func (d *Directory) merge(entry Entry) bool {
	entry.Runners = d.departed.filterOut(entry.Runners)
	if len(entry.Runners) == 0 {
		return false
	}
	if element := d.entries[entry.Session]; element != nil {
		known := element.Value.(Entry)
		replaced, isPending := d.updates.replacedVersion(entry.Session)
		// If another router has already sent the runners of our pending entry, its entry replaces ours, which need not be
		// sent. This does not hold if ours has won against an entry that is at least as new as that one.
		isDuplicate := isPending && entry.Version > replaced && slices.Equal(known.Runners, entry.Runners)
		if !isDuplicate && !newer(entry, known) {
			d.updates.recordRejected(entry.Session, entry.Version)
			return false
		}
	}
	d.updates.remove(entry.Session)
	d.put(entry)
	return true
}

// RemoveRunners removes runners that have left permanently from all entries. Runner IDs are never reused.
func (d *Directory) RemoveRunners(runners ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.departed.add(runners) {
		return
	}
	for next := d.recent.Front(); next != nil; {
		element := next
		next = next.Next()
		entry := element.Value.(Entry)
		if entry.Runners = d.departed.filterOut(entry.Runners); len(entry.Runners) == 0 {
			d.drop(element)
			continue
		}
		element.Value = entry
	}
	d.departed.trim()
}

// DrainUpdates removes the oldest pending entries from the queue and returns them, to be sent to the other routers. It
// returns 1024 entries at most, so that more may be pending.
func (d *Directory) DrainUpdates() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Entry
	for _, session := range d.updates.drain(maxUpdatesPerDrain) {
		out = append(out, d.entries[session].Value.(Entry))
	}
	return out
}
