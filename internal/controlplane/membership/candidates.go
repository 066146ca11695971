// Package membership plans the changes of a view: which processes become members, which members are removed, and which
// become backups. It does no I/O and decides nothing: its result is the view to propose next.
package membership

import (
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// candidateTTL is how long a request to join counts.
const candidateTTL = 2 * time.Second

// Candidate is a process that wants to become a member.
type Candidate struct {
	Member         view.Member
	FirstRequestAt time.Time // it has asked without a break since
	lastRequestAt  time.Time
}

// Candidates are the processes that ask to become members. The zero value is empty. All methods may be called concurrently.
type Candidates struct {
	mu   sync.Mutex
	byID map[string]Candidate
}

// Add records a request to join.
func (c *Candidates) Add(member view.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]Candidate{}
	}
	now := time.Now()
	known, ok := c.byID[member.ID]
	if !ok || now.Sub(known.lastRequestAt) > candidateTTL {
		known.FirstRequestAt = now
	}
	known.Member, known.lastRequestAt = member, now
	c.byID[member.ID] = known
}

// Members lists the candidates, in no order.
func (c *Candidates) Members() []view.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []view.Member
	for _, known := range c.byID {
		members = append(members, known.Member)
	}
	return members
}

// Next is the process that is to become a member next, or nil, and forgets those that ask no more or are members. One that
// took the place of a member at its address comes first.
func (c *Candidates) Next(v view.View) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next *Candidate
	for id, known := range c.byID {
		switch {
		case time.Since(known.lastRequestAt) > candidateTTL || v.Addr(id) == known.Member.Addr:
			delete(c.byID, id)
		case next == nil || before(v, known, *next):
			next = &known
		}
	}
	return next
}

// before orders candidates: those that replace a member, then those that asked first.
func before(v view.View, a, b Candidate) bool {
	if x, y := supersedes(v, a.Member), supersedes(v, b.Member); x != y {
		return x
	}
	return a.FirstRequestAt.Before(b.FirstRequestAt)
}

// supersedes reports whether a candidate proves a member gone, or is that member at a new address.
func supersedes(v view.View, candidate view.Member) bool {
	return slices.ContainsFunc(v.Members, func(m view.Member) bool { return m.Addr == candidate.Addr || m.ID == candidate.ID })
}
