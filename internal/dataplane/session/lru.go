package session

import (
	"container/list"
	"slices"
)

// put stores an entry as the one used last, and drops the ones used longest ago where there are too many. The caller holds
// the lock.
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

// MostRecentlyUsed returns the entries used last, at most limit of them, of these the one used longest ago first: a router that merges
// them in this order drops the same ones as this router.
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
