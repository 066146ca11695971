package membership

import (
	"time"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// suspectAfter is how long a member has not answered before it may be gone.
const suspectAfter = 600 * time.Millisecond

// Policy is what the settings say about members and backups.
type Policy struct {
	Losses        int           // disks that may be lost at once
	AllowNoBackup bool          // a fleet with too few members has fewer backups than that
	MaxMembers    int           // the most members; further candidates wait until one is lost
	LostAfter     time.Duration // a member that has not answered for so long may be replaced
}

// NextView is the view in which one member is added, removed or replaced, and reports whether that is due. newcomer is the
// candidate to add; nil: none. silence is for how long a member has not answered.
func (p Policy) NextView(v view.View, newcomer *Candidate, silence func(id string) time.Duration) (view.View, bool) {
	size := v.TargetSize
	if size == 0 {
		size = len(v.Members)
	}
	lost, lostBackup := p.longestLost(v, silence)
	switch {
	case newcomer != nil && supersedes(v, newcomer.Member):
		next := v
		for _, m := range v.Members {
			if m.Addr == newcomer.Member.Addr || m.ID == newcomer.Member.ID {
				next = next.WithoutMember(m.ID)
			}
		}
		v = next.WithMember(newcomer.Member)
	case newcomer != nil && lost != "":
		v = v.WithoutMember(lost).WithMember(newcomer.Member)
	case newcomer != nil && len(v.Members) < p.MaxMembers:
		live, sure := countAlive(v, *newcomer, silence)
		if !sure {
			return v, false
		}
		v, size = v.WithMember(newcomer.Member), max(size, live)
	case newcomer != nil && lostBackup != "":
		v = v.WithoutMember(lostBackup).WithMember(newcomer.Member)
	case lost != "" && (len(v.Members) > size || p.raisesMajority(v)):
		v = v.WithoutMember(lost)
	default:
		return v, false
	}
	v.TargetSize = size
	return v, true
}

// raisesMajority reports whether fewer members are a majority once one of them is removed, and enough are left to bear the
// losses. So a machine that was replaced, the new one first, does not count among the members for ever: with four members
// of which three run, the next loss would leave no majority. A member that was only cut off asks to join again.
func (p Policy) raisesMajority(v view.View) bool {
	left := len(v.Members) - 1
	return left%2 == 1 && left >= 2*p.Losses+1
}

// longestLost is the member silent for longest of those that are lost, or "": of the members that are no backups, and of
// the backups. A backup that is only cut off holds all that was acknowledged, so that it stays a member until another
// one has a copy, or there is no room for the newcomer that may get one.
func (p Policy) longestLost(v view.View, silence func(string) time.Duration) (lost, lostBackup string) {
	for _, m := range v.Members {
		longest := &lost
		if v.IsBackup(m.ID) && !faultinjection.Disabled("lost-backup") {
			longest = &lostBackup
		}
		if silentFor := silence(m.ID); silentFor > p.LostAfter && (*longest == "" || silentFor > silence(*longest)) {
			*longest = m.ID
		}
	}
	return lost, lostBackup
}

// countAlive counts the newcomer and the members that answered since it asked to join. So a newcomer that
// comes for a member just lost is told from one that comes beside it: the count is sure once each of
// the other members has been silent for a while.
func countAlive(v view.View, newcomer Candidate, silence func(string) time.Duration) (live int, sure bool) {
	live, sure = 1, true
	for _, m := range v.Members {
		switch silentFor := silence(m.ID); {
		case silentFor < time.Since(newcomer.FirstRequestAt):
			live++
		case silentFor < suspectAfter:
			sure = false
		}
	}
	return live, sure
}
