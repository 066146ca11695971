package membership

import (
	"slices"
	"strings"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// WithPrimary returns the view in which a backup takes over as primary. The other backups remain, and the former primary
// becomes a backup if it is still a member. Each of them stores every write acknowledged so far, so that one of them can take
// over if the new primary's disk is lost before it has sent its state to any backup. The new primary acknowledges no write
// before all backups of its view have that state.
func WithPrimary(v view.View, id string) view.View {
	next := v.WithoutBackup(id)
	if v.HasMember(v.Primary) && !faultinjection.Disabled("former-primary") {
		next = next.WithBackups(append(slices.Clone(next.Backups()), v.Primary))
	}
	next.Primary = id
	return next
}

// BackupCount returns how many backups must store a write before it is acknowledged.
func (p Policy) BackupCount(v view.View) int {
	if p.AllowNoBackup {
		return min(p.Losses, len(v.Members)-1)
	}
	return p.Losses
}

// AfterStepDown returns the view after a planned stop of the primary: the first backup takes over. ok is false if there is no
// backup. With AllowNoBackup, if there are only two members, the former primary is also removed from the members: otherwise
// the remaining member would not be a majority.
func (p Policy) AfterStepDown(v view.View) (next view.View, ok bool) {
	if len(v.Backups()) == 0 {
		return v, false
	}
	next = WithPrimary(v, v.Backups()[0])
	if p.AllowNoBackup && len(v.Members) == 2 {
		next = next.WithoutMember(v.Primary)
	}
	return next, true
}

// SpreadAcrossZones selects up to count of the given members. It prefers members in zones that are not used yet and marks
// the zones of the selected members as used. The result does not depend on the order of the members.
func SpreadAcrossZones(members []view.Member, usedZones map[string]bool, count int) []string {
	remaining := slices.SortedFunc(slices.Values(members), func(a, b view.Member) int { return strings.Compare(a.ID, b.ID) })
	var selected []string
	for len(selected) < count && len(remaining) > 0 {
		best := max(0, slices.IndexFunc(remaining, func(m view.Member) bool { return !usedZones[m.Zone] }))
		selected = append(selected, remaining[best].ID)
		usedZones[remaining[best].Zone] = true
		remaining = slices.Delete(remaining, best, best+1)
	}
	return selected
}

// InitialView returns the first view. The first founder is the primary. Its backups are, as far as possible, in different
// zones from the primary and from each other.
func InitialView(founders []view.Member, losses int) view.View {
	v := view.View{Members: founders, TargetSize: len(founders), Primary: founders[0].ID}
	usedZones := map[string]bool{founders[0].Zone: true}
	return v.WithBackups(SpreadAcrossZones(founders[1:], usedZones, losses))
}
