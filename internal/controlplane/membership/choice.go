package membership

import (
	"slices"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// Timeouts for the selection of backups.
const (
	backupTimeout       = 1500 * time.Millisecond // a backup that has not answered for this long is removed
	failureCooldown     = 5 * time.Second         // a failed backup is not selected again within this time if enough other members can be selected
	lastResortCooldown  = 500 * time.Millisecond  // a failed backup is not selected again within this time in any case
	maxContactAge       = time.Second             // a member must have answered within this time to be selected
	minTimeSinceFailure = 10 * time.Second        // a backup is moved to a better zone only if a member there has not failed within this time
)

// BackupSelector selects the backups of a primary. It is created for a single step of the primary's run loop. The
// function fields must not change any state.
type BackupSelector struct {
	View        view.View
	Self        string // identity of the primary
	Zone        string // zone of the primary
	Predecessor string // the former primary, which has just been lost or is about to stop; "" if there is none

	// SinceContact returns the time since a member last answered, but at most the time elapsed since the given time.
	SinceContact func(id string, since time.Time) time.Duration
	// FailedWithin reports whether a member failed as a backup within the given time span.
	FailedWithin func(id string, span time.Duration) bool
	// InSync reports whether a member has a complete copy of the state.
	InSync func(id string) bool
}

// RetainedBackups returns the backups of the view that respond and have not failed recently. ledSince is when the primary began
// to lead. While the primary is not ready, its predecessor is not retained; AdditionalBackups may select it as a last resort.
func (s BackupSelector) RetainedBackups(ready bool, ledSince time.Time) []string {
	var retained []string
	for _, id := range s.View.Backups() {
		responds := s.SinceContact(id, ledSince) <= backupTimeout
		leaving := !ready && id == s.Predecessor
		failed := !s.InSync(id) && s.FailedWithin(id, failureCooldown)
		if responds && !leaving && !failed {
			retained = append(retained, id)
		}
	}
	return retained
}

// AdditionalBackups selects up to count responding members as backups in addition to the retained ones. It prefers zones
// without a replica. Members that failed recently and the former primary are selected only if there are not enough others.
func (s BackupSelector) AdditionalBackups(retained []string, count int) []string {
	usedZones := map[string]bool{s.Zone: true}
	for _, id := range retained {
		usedZones[s.View.ZoneOf(id)] = true
	}
	var preferred, lastResort []view.Member
	for _, m := range s.View.Members {
		switch {
		case m.ID == s.Self || slices.Contains(retained, m.ID) || s.SinceContact(m.ID, time.Time{}) > maxContactAge:
		case m.ID != s.Predecessor && !s.FailedWithin(m.ID, failureCooldown):
			preferred = append(preferred, m)
		case !s.FailedWithin(m.ID, lastResortCooldown):
			lastResort = append(lastResort, m)
		}
	}
	selected := SpreadAcrossZones(preferred, usedZones, count)
	return append(selected, SpreadAcrossZones(lastResort, usedZones, count-len(selected))...)
}

// MisplacedBackup returns a backup whose zone has another replica while a reliable member is in a zone without one, or "". A
// backup in that other zone would survive the loss of a zone. A member is reliable if it has answered within maxContactAge and
// has not failed within minTimeSinceFailure.
func (s BackupSelector) MisplacedBackup() string {
	usedZones, misplaced := map[string]bool{s.Zone: true}, ""
	for _, id := range s.View.Backups() {
		if usedZones[s.View.ZoneOf(id)] {
			misplaced = id
		}
		usedZones[s.View.ZoneOf(id)] = true
	}
	for _, m := range s.View.Members {
		if misplaced != "" && !usedZones[m.Zone] && s.SinceContact(m.ID, time.Time{}) < maxContactAge && !s.FailedWithin(m.ID, minTimeSinceFailure) {
			return misplaced
		}
	}
	return ""
}
