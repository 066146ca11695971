package membership

import (
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// choiceOfFive is what the primary a in zone 1 knows of b (its backup, zone 2), c (zone 2), d and e (zone 3), all of which
// have just answered and never failed.
func choiceOfFive() (choice BackupSelector, silence, failures map[string]time.Duration) {
	silence, failures = map[string]time.Duration{}, map[string]time.Duration{}
	v := view.View{Epoch: 3, Primary: "a", FirstBackup: "b", Members: []view.Member{{ID: "a", Addr: "1", Zone: "1"}, {ID: "b", Addr: "2", Zone: "2"},
		{ID: "c", Addr: "3", Zone: "2"}, {ID: "d", Addr: "4", Zone: "3"}, {ID: "e", Addr: "5", Zone: "3"}}}
	return BackupSelector{View: v, Self: "a", Zone: "1",
		SinceContact: func(id string, _ time.Time) time.Duration { return silence[id] },
		FailedWithin: func(id string, span time.Duration) bool {
			ago, failed := failures[id]
			return failed && ago < span
		},
		InSync: func(string) bool { return false },
	}, silence, failures
}

func TestKeep(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(choice *BackupSelector, silence, failures map[string]time.Duration)
		ready   bool
		want    []string
	}{
		{"a backup that answers", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, true, []string{"b"}},
		{"a silent one", func(_ *BackupSelector, silence, _ map[string]time.Duration) { silence["b"] = backupTimeout + 1 }, true, nil},
		{"one that failed lately", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["b"] = time.Second }, true, nil},
		{"one that failed and has a copy again", func(choice *BackupSelector, _, failures map[string]time.Duration) {
			failures["b"], choice.InSync = time.Second, func(string) bool { return true }
		}, true, []string{"b"}},
		{"the former primary, before we are ready", func(choice *BackupSelector, _, _ map[string]time.Duration) { choice.Predecessor = "b" }, false, nil},
		{"the former primary, once we are ready", func(choice *BackupSelector, _, _ map[string]time.Duration) { choice.Predecessor = "b" }, true, []string{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			choice, silence, failures := choiceOfFive()
			c.prepare(&choice, silence, failures)
			if got := choice.RetainedBackups(c.ready, time.Time{}); !slices.Equal(got, c.want) {
				t.Errorf("got %v kept, want %v", got, c.want)
			}
		})
	}
}

func TestAdd(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(choice *BackupSelector, silence, failures map[string]time.Duration)
		keep    []string
		count   int
		want    []string
	}{
		{"another zone first", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, []string{"b"}, 1, []string{"d"}},
		{"then whoever is left", func(*BackupSelector, map[string]time.Duration, map[string]time.Duration) {}, []string{"b"}, 3, []string{"d", "c", "e"}},
		{"no silent one", func(_ *BackupSelector, silence, _ map[string]time.Duration) { silence["d"] = maxContactAge + 1 }, []string{"b"}, 1, []string{"e"}},
		{"one that failed only where there is nobody else", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["d"] = time.Second },
			[]string{"b"}, 3, []string{"e", "c", "d"}},
		{"none that has just failed", func(_ *BackupSelector, _, failures map[string]time.Duration) { failures["d"] = lastResortCooldown / 2 },
			[]string{"b"}, 3, []string{"e", "c"}},
		{"the former primary last", func(choice *BackupSelector, _, _ map[string]time.Duration) { choice.Predecessor = "d" }, []string{"b"}, 3, []string{"e", "c", "d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			choice, silence, failures := choiceOfFive()
			c.prepare(&choice, silence, failures)
			if got := choice.AdditionalBackups(c.keep, c.count); !slices.Equal(got, c.want) {
				t.Errorf("got %v added, want %v", got, c.want)
			}
		})
	}
}

// A backup in the primary's own zone is wrongly placed where another zone has a member that answers steadily.
func TestWronglyPlaced(t *testing.T) {
	choice, silence, failures := choiceOfFive()
	if got := choice.MisplacedBackup(); got != "" {
		t.Errorf("got %q wrongly placed in a zone of its own, want none", got)
	}
	choice.Zone, choice.View.Members[0].Zone = "2", "2"
	if got := choice.MisplacedBackup(); got != "b" {
		t.Errorf("got %q wrongly placed, want the backup in the primary's zone", got)
	}
	silence["d"], failures["e"] = maxContactAge, minTimeSinceFailure-1
	if got := choice.MisplacedBackup(); got != "" {
		t.Errorf("got %q wrongly placed where nobody steady is in another zone, want none", got)
	}
}
