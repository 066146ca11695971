// Package session keeps the session directory: which runners have a session's context cached (its KV cache), where that is
// not what every router finds anyway by rendezvous hashing. Each router has a replica of the directory and sends the others
// its changes; of two entries of one session the one with the higher version stands. What is kept here decides only which
// runner is asked first, never whether a request may be sent.
package session

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Directory is one router's replica of the session directory. Its methods may be called concurrently.
type Directory struct {
	capacity int              // entries
	now      func() time.Time // monotonic

	mu         sync.Mutex // guards the fields below
	entries    map[uint64]*list.Element
	recent     *list.List           // of Entry, the one used last in front
	changedAt  map[uint64]time.Time // when a session's entry came to stand here
	updates    updateQueue
	departed   departedRunners
	maxVersion uint64 // seen so far, of any session
	changes    uint64
}

// New makes an empty directory of at most capacity sessions; beyond it the one used longest ago is dropped.
func New(capacity int) *Directory {
	return &Directory{capacity: capacity, now: time.Now, entries: map[uint64]*list.Element{}, recent: list.New(),
		changedAt: map[uint64]time.Time{}, updates: newUpdateQueue(), departed: newDepartedRunners()}
}

// Lookup returns the entry of a session and counts as its use.
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

// Age is how long ago a session's entry came to stand in this replica.
func (d *Directory) Age(session uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.changedAt[session])
}

// Len counts the sessions that have an entry.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent.Len()
}

// Changes counts the changes so far: who remembers the count can tell later whether anything has changed since.
func (d *Directory) Changes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// Record notes what this router found: these runners have the session's context, the last one first. The entry is queued
// for the other routers, unless it is known already.
func (d *Directory) Record(session uint64, runners ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	runners = d.departed.without(runners)
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

// Merge takes entries of other routers, and returns how many of them were new.
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

// merge takes one entry of another router and reports whether it was new. The caller holds the lock.
func (d *Directory) merge(entry Entry) bool {
	entry.Runners = d.departed.without(entry.Runners)
	if len(entry.Runners) == 0 {
		return false
	}
	if element := d.entries[entry.Session]; element != nil {
		known := element.Value.(Entry)
		replaced, isPending := d.updates.pendingVersion(entry.Session)
		// Where another router has sent the same before us, its entry replaces ours, which is still pending: unless we
		// have passed over a newer one for the sake of ours.
		isSame := isPending && entry.Version > replaced && slices.Equal(known.Runners, entry.Runners)
		if !isSame && !newer(entry, known) {
			d.updates.passOver(entry.Session, entry.Version)
			return false
		}
	}
	d.updates.remove(entry.Session)
	d.put(entry)
	return true
}

// RemoveRunners takes runners that have left for good out of all entries. A runner's ID is never used again.
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
		if entry.Runners = d.departed.without(entry.Runners); len(entry.Runners) == 0 {
			d.drop(element)
			continue
		}
		element.Value = entry
	}
	d.departed.trim()
}

// DrainUpdates returns the entries to send to the other routers now, in the order in which they came, and takes them out of
// the queue. There may be more: it returns 1024 at most.
func (d *Directory) DrainUpdates() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Entry
	for _, session := range d.updates.drain(maxUpdatesPerDrain) {
		out = append(out, d.entries[session].Value.(Entry))
	}
	return out
}
