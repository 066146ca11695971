// Package membership plans changes of a view: which processes become members, which members are removed and which members
// become backups. It does no I/O and only computes the next view to propose; package paxos decides whether it is chosen.
package membership

import (
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// candidateTTL is how long a request to join remains valid.
const candidateTTL = 2 * time.Second

// Candidate is a process that has requested to join as a member.
type Candidate struct {
	Member         view.Member
	FirstRequestAt time.Time // start of the current series of requests without a gap longer than candidateTTL
	lastRequestAt  time.Time
}

// Candidates is the set of processes that request to join. The zero value is empty. All methods may be called concurrently.
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
	candidate, ok := c.byID[member.ID]
	if !ok || now.Sub(candidate.lastRequestAt) > candidateTTL {
		candidate.FirstRequestAt = now
	}
	candidate.Member, candidate.lastRequestAt = member, now
	c.byID[member.ID] = candidate
}

// Members returns the candidates in no particular order.
func (c *Candidates) Members() []view.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []view.Member
	for _, candidate := range c.byID {
		members = append(members, candidate.Member)
	}
	return members
}

// Next returns the candidate that is to become a member next, or nil. Candidates that supersede a member come first. Next
// drops candidates whose last request has expired and those that already are members.
func (c *Candidates) Next(v view.View) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next *Candidate
	for id, candidate := range c.byID {
		switch {
		case time.Since(candidate.lastRequestAt) > candidateTTL || v.Addr(id) == candidate.Member.Addr:
			delete(c.byID, id)
		case next == nil || comesBefore(v, candidate, *next):
			next = &candidate
		}
	}
	return next
}

// comesBefore orders candidates: those that supersede a member come first, then those with the earliest first request.
func comesBefore(v view.View, a, b Candidate) bool {
	if x, y := supersedes(v, a.Member), supersedes(v, b.Member); x != y {
		return x
	}
	return a.FirstRequestAt.Before(b.FirstRequestAt)
}

// supersedes reports whether a candidate replaces a member: it is another process at the address of a member, which therefore
// is gone, or it is a member at a new address.
func supersedes(v view.View, candidate view.Member) bool {
	return slices.ContainsFunc(v.Members, func(m view.Member) bool { return m.Addr == candidate.Addr || m.ID == candidate.ID })
}
