package membership

import (
	"time"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// suspectAfter is the time without an answer after which a member is suspected to have failed.
const suspectAfter = 600 * time.Millisecond

// Policy contains the settings for members and backups.
type Policy struct {
	Losses        int           // number of simultaneous disk losses to tolerate
	AllowNoBackup bool          // use fewer backups than Losses if there are too few members
	MaxMembers    int           // maximum number of members; further candidates wait until a member is lost
	LostAfter     time.Duration // a member that has not answered for this long is lost and may be replaced
}

// NextView plans the next change of the members: one is added, removed or replaced. It returns false if no change is due.
// candidate is the process to add, or nil. sinceContact returns the time since a member last answered.
func (p Policy) NextView(v view.View, candidate *Candidate, sinceContact func(id string) time.Duration) (view.View, bool) {
	size := v.TargetSize
	if size == 0 {
		size = len(v.Members)
	}
	lost, lostBackup := p.longestLost(v, sinceContact)
	switch {
	case candidate != nil && supersedes(v, candidate.Member):
		next := v
		for _, m := range v.Members {
			if m.Addr == candidate.Member.Addr || m.ID == candidate.Member.ID {
				next = next.WithoutMember(m.ID)
			}
		}
		v = next.WithMember(candidate.Member)
	case candidate != nil && lost != "":
		v = v.WithoutMember(lost).WithMember(candidate.Member)
	case candidate != nil && len(v.Members) < p.MaxMembers:
		alive, conclusive := countAlive(v, *candidate, sinceContact)
		if !conclusive {
			return v, false
		}
		v, size = v.WithMember(candidate.Member), max(size, alive)
	case candidate != nil && lostBackup != "":
		v = v.WithoutMember(lostBackup).WithMember(candidate.Member)
	case lost != "" && (len(v.Members) > size || p.removalLowersMajority(v)):
		v = v.WithoutMember(lost)
	default:
		return v, false
	}
	v.TargetSize = size
	return v, true
}

// removalLowersMajority reports whether removing a member lowers the number of members that form a majority, while enough
// members remain to tolerate p.Losses. It lets a lost machine be removed after its replacement has joined: otherwise, with
// four members of which three run, the next loss would leave no majority. A removed member that was only partitioned
// requests to join again.
func (p Policy) removalLowersMajority(v view.View) bool {
	remaining := len(v.Members) - 1
	return remaining%2 == 1 && remaining >= 2*p.Losses+1
}

// longestLost returns the lost member and the lost backup that have not answered for the longest time, or "". lost is not a
// backup. Backups are separate because a backup that is only partitioned stores every acknowledged write: it stays a member
// until another member has a copy, or until there is no room to add the candidate that could get one.
func (p Policy) longestLost(v view.View, sinceContact func(string) time.Duration) (lost, lostBackup string) {
	for _, m := range v.Members {
		longest := &lost
		if v.IsBackup(m.ID) && !faultinjection.Disabled("lost-backup") {
			longest = &lostBackup
		}
		if elapsed := sinceContact(m.ID); elapsed > p.LostAfter && (*longest == "" || elapsed > sinceContact(*longest)) {
			*longest = m.ID
		}
	}
	return lost, lostBackup
}

// countAlive counts the candidate and the members that have answered since its first request to join. The count is conclusive
// if every other member has not answered for at least suspectAfter. So a candidate that replaces a recently lost member does
// not raise the target size, whereas one that joins in addition does.
func countAlive(v view.View, candidate Candidate, sinceContact func(string) time.Duration) (alive int, conclusive bool) {
	alive, conclusive = 1, true
	for _, m := range v.Members {
		switch elapsed := sinceContact(m.ID); {
		case elapsed < time.Since(candidate.FirstRequestAt):
			alive++
		case elapsed < suspectAfter:
			conclusive = false
		}
	}
	return alive, conclusive
}
