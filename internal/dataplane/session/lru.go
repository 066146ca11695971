package session

import (
	"container/list"
	"slices"
)

// put stores an entry as the most recently used one and evicts the least recently used ones beyond the capacity. The caller
// holds the lock.
func (d *Directory) put(entry Entry) {
	d.changes++
	d.maxVersion = max(d.maxVersion, entry.Version)
	d.changedAt[entry.Session] = d.now()
	if element := d.entries[entry.Session]; element != nil {
		element.Value = entry
		d.recent.MoveToFront(element)
		return
	}
	for d.recent.Len() >= d.capacity {
		d.drop(d.recent.Back())
	}
	d.entries[entry.Session] = d.recent.PushFront(entry)
}

// drop removes an entry. The caller holds the lock.
func (d *Directory) drop(element *list.Element) {
	d.changes++
	session := element.Value.(Entry).Session
	delete(d.entries, session)
	delete(d.changedAt, session)
	d.updates.remove(session)
	d.recent.Remove(element)
}

// MostRecentlyUsed returns up to limit of the most recently used entries, the least recently used of them first. A router
// that merges them in this order evicts entries in the same order as this one.
func (d *Directory) MostRecentlyUsed(limit int) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Entry, 0, max(0, min(limit, d.recent.Len())))
	for element := d.recent.Front(); element != nil && len(out) < limit; element = element.Next() {
		out = append(out, element.Value.(Entry))
	}
	slices.Reverse(out)
	return out
}
