package membership

import (
	"slices"
	"strings"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// WithPrimary is the view in which a backup leads. The other backups stay, and the former primary becomes one: each
// has every write acknowledged so far, so that one of them can lead where the new primary's disk is lost before it
// has sent its state to anybody. It acknowledges nothing before every backup of its view has that.
func WithPrimary(v view.View, id string) view.View {
	next := v.WithoutBackup(id)
	if v.HasMember(v.Primary) && !faultinjection.Disabled("former-primary") {
		next = next.WithBackups(append(slices.Clone(next.Backups()), v.Primary))
	}
	next.Primary = id
	return next
}

// BackupCount is how many members beside the primary store a write before it is acknowledged.
func (p Policy) BackupCount(v view.View) int {
	if p.AllowNoBackup {
		return min(p.Losses, len(v.Members)-1)
	}
	return p.Losses
}

// AfterStepDown is the view once the primary has left as planned. The last but one member gives up its
// place too, where no loss is to be borne: the last one is no majority of two.
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

// SpreadAcrossZones picks members, those of zones not used yet first, and marks their zones as used.
func SpreadAcrossZones(from []view.Member, used map[string]bool, count int) []string {
	free := slices.SortedFunc(slices.Values(from), func(a, b view.Member) int { return strings.Compare(a.ID, b.ID) })
	var out []string
	for len(out) < count && len(free) > 0 {
		best := max(0, slices.IndexFunc(free, func(m view.Member) bool { return !used[m.Zone] }))
		out = append(out, free[best].ID)
		used[free[best].Zone] = true
		free = slices.Delete(free, best, best+1)
	}
	return out
}

// InitialView is the first view: the first member leads, its backups are in other zones than it and one another where
// there are such.
func InitialView(founders []view.Member, losses int) view.View {
	first := view.View{Members: founders, TargetSize: len(founders), Primary: founders[0].ID}
	used := map[string]bool{founders[0].Zone: true}
	return first.WithBackups(SpreadAcrossZones(founders[1:], used, losses))
}
