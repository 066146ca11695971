package membership

import (
	"slices"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// How long backups are kept or left out.
const (
	backupTimeout       = 1500 * time.Millisecond // a backup that has not answered for so long is removed
	failureCooldown     = 5 * time.Second         // a backup that failed is not chosen again for so long where there are others
	lastResortCooldown  = 500 * time.Millisecond  // and for so long where there are none
	maxContactAge       = time.Second             // a member heard within this span can be chosen
	minTimeSinceFailure = 10 * time.Second        // a better placed member must not have failed within this span
)

// BackupSelector is what a primary knows where it chooses its backups. It is made for one step; neither function may change
// anything.
type BackupSelector struct {
	View        view.View
	Self        string // the primary
	Zone        string // of the primary
	Predecessor string // the former primary, which has just been lost or is about to stop; "": none

	// SinceContact tells how long ago a member last answered; one that did not since the time given counts from then.
	SinceContact func(id string, since time.Time) time.Duration
	// FailedWithin reports whether a member failed as backup within a span.
	FailedWithin func(id string, span time.Duration) bool
	// InSync reports whether a member has a complete copy.
	InSync func(id string) bool
}

// RetainedBackups lists the backups that respond and did not fail lately, for a primary that has led since a time. Until it is ready it
// keeps its predecessor only where there is nobody else.
func (c BackupSelector) RetainedBackups(ready bool, ledSince time.Time) []string {
	var keep []string
	for _, id := range c.View.Backups() {
		responds := c.SinceContact(id, ledSince) <= backupTimeout
		leaves := !ready && id == c.Predecessor
		failed := !c.InSync(id) && c.FailedWithin(id, failureCooldown)
		if responds && !leaves && !failed {
			keep = append(keep, id)
		}
	}
	return keep
}

// AdditionalBackups picks members that answer as backups beside those that are kept, zones that have no replica yet first. A member that
// failed a while ago, and the former primary, are chosen only where there are not enough others.
func (c BackupSelector) AdditionalBackups(keep []string, count int) []string {
	used := map[string]bool{c.Zone: true}
	for _, id := range keep {
		used[c.View.ZoneOf(id)] = true
	}
	var free, lastResort []view.Member
	for _, m := range c.View.Members {
		switch {
		case m.ID == c.Self || slices.Contains(keep, m.ID) || c.SinceContact(m.ID, time.Time{}) > maxContactAge:
		case m.ID != c.Predecessor && !c.FailedWithin(m.ID, failureCooldown):
			free = append(free, m)
		case !c.FailedWithin(m.ID, lastResortCooldown):
			lastResort = append(lastResort, m)
		}
	}
	chosen := SpreadAcrossZones(free, used, count)
	return append(chosen, SpreadAcrossZones(lastResort, used, count-len(chosen))...)
}

// MisplacedBackup is a backup in a zone that has another replica, while a member in a zone without one has answered steadily, or
// "": a backup there outlives the loss of a zone.
func (c BackupSelector) MisplacedBackup() string {
	used, worst := map[string]bool{c.Zone: true}, ""
	for _, id := range c.View.Backups() {
		if used[c.View.ZoneOf(id)] {
			worst = id
		}
		used[c.View.ZoneOf(id)] = true
	}
	for _, m := range c.View.Members {
		if worst != "" && !used[m.Zone] && c.SinceContact(m.ID, time.Time{}) < maxContactAge && !c.FailedWithin(m.ID, minTimeSinceFailure) {
			return worst
		}
	}
	return ""
}
