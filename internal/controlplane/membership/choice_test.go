package membership

import (
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// selectorOfFive returns the selector of the primary a (zone 1), with the backup b (zone 2) and the other members c (zone 2), d
// and e (zone 3). All members have just answered and never failed; a test changes that in the returned maps.
func selectorOfFive() (selector BackupSelector, sinceContact, failures map[string]time.Duration) {
	sinceContact, failures = map[string]time.Duration{}, map[string]time.Duration{}
	v := view.View{Epoch: 3, Primary: "a", FirstBackup: "b", Members: []view.Member{{ID: "a", Addr: "1", Zone: "1"}, {ID: "b", Addr: "2", Zone: "2"},
		{ID: "c", Addr: "3", Zone: "2"}, {ID: "d", Addr: "4", Zone: "3"}, {ID: "e", Addr: "5", Zone: "3"}}}
	return BackupSelector{View: v, Self: "a", Zone: "1",
		SinceContact: func(id string, _ time.Time) time.Duration { return sinceContact[id] },
		FailedWithin: func(id string, span time.Duration) bool {
			ago, failed := failures[id]
			return failed && ago < span
		},
		InSync: func(string) bool { return false },
	}, sinceContact, failures
}

func TestRetainedBackups(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(selector *BackupSelector, sinceContact, failures map[string]time.Duration)
		ready   bool
		want    []string
	}{
		{"a backup that answers", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, true, []string{"b"}},
		{"a backup that timed out", func(_ *BackupSelector, sinceContact, _ map[string]time.Duration) {
			sinceContact["b"] = backupTimeout + 1
		}, true, nil},
		{"a backup that failed recently", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["b"] = time.Second }, true, nil},
		{"a backup that failed and is in sync again", func(selector *BackupSelector, _, failures map[string]time.Duration) {
			failures["b"], selector.InSync = time.Second, func(string) bool { return true }
		}, true, []string{"b"}},
		{"the former primary, before the new one is ready", func(selector *BackupSelector, _, _ map[string]time.Duration) { selector.Predecessor = "b" }, false, nil},
		{"the former primary, once the new one is ready", func(selector *BackupSelector, _, _ map[string]time.Duration) { selector.Predecessor = "b" }, true, []string{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			selector, sinceContact, failures := selectorOfFive()
			c.prepare(&selector, sinceContact, failures)
			if got := selector.RetainedBackups(c.ready, time.Time{}); !slices.Equal(got, c.want) {
				t.Errorf("got backups %v retained, want %v", got, c.want)
			}
		})
	}
}

func TestAdditionalBackups(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  func(selector *BackupSelector, sinceContact, failures map[string]time.Duration)
		retained []string
		count    int
		want     []string
	}{
		{"another zone first", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, []string{"b"}, 1, []string{"d"}},
		{"then all remaining members", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, []string{"b"}, 3, []string{"d", "c", "e"}},
		{"no member that timed out", func(_ *BackupSelector, sinceContact, _ map[string]time.Duration) {
			sinceContact["d"] = maxContactAge + 1
		}, []string{"b"}, 1, []string{"e"}},
		{"a member that failed only if there are no others", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["d"] = time.Second },
			[]string{"b"}, 3, []string{"e", "c", "d"}},
		{"no member that has just failed", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["d"] = lastResortCooldown / 2 },
			[]string{"b"}, 3, []string{"e", "c"}},
		{"the former primary last", func(selector *BackupSelector, _, _ map[string]time.Duration) { selector.Predecessor = "d" }, []string{"b"}, 3, []string{"e", "c", "d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			selector, sinceContact, failures := selectorOfFive()
			c.prepare(&selector, sinceContact, failures)
			if got := selector.AdditionalBackups(c.retained, c.count); !slices.Equal(got, c.want) {
				t.Errorf("got %v added, want %v", got, c.want)
			}
		})
	}
}

// A backup in the primary's own zone is misplaced if a zone without a replica has a reliable member.
func TestMisplacedBackup(t *testing.T) {
	selector, sinceContact, failures := selectorOfFive()
	if got := selector.MisplacedBackup(); got != "" {
		t.Errorf("got misplaced backup %q, want none if the backup has a zone of its own", got)
	}
	selector.Zone, selector.View.Members[0].Zone = "2", "2"
	if got := selector.MisplacedBackup(); got != "b" {
		t.Errorf("got misplaced backup %q, want b, which is in the primary's zone", got)
	}
	sinceContact["d"], failures["e"] = maxContactAge, minTimeSinceFailure-1
	if got := selector.MisplacedBackup(); got != "" {
		t.Errorf("got misplaced backup %q, want none if no reliable member is in another zone", got)
	}
}
