package membership

import (
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// nextView plans the change of a view in which the given members are lost. It fills in defaults for missing policy settings.
func nextView(t *testing.T, policy Policy, v view.View, candidate *Candidate, lost ...string) (next view.View, ok bool) {
	t.Helper()
	policy.LostAfter = 10 * time.Second
	if policy.Losses == 0 {
		policy.Losses = 1
	}
	if policy.MaxMembers == 0 {
		policy.MaxMembers = 9
	}
	return policy.NextView(v, candidate, func(id string) time.Duration {
		if slices.Contains(lost, id) {
			return time.Minute
		}
		return 0
	})
}

// membersOf returns a view with count members a, b, …, the primary a and the backup b.
func membersOf(count int) view.View {
	v := view.View{Epoch: 1, Primary: "a", TargetSize: count}
	for i := range count {
		id := string(rune('a' + i))
		v.Members = append(v.Members, view.Member{ID: id, Addr: id + ":1"})
	}
	return v.WithBackups([]string{"b"})
}

// A lost backup stores every acknowledged write, and a candidate has no replica yet. So the candidate replaces the backup only
// if the view already has the maximum number of members.
func TestLostBackupStaysUntilThereIsAnother(t *testing.T) {
	candidate := &Candidate{Member: view.Member{ID: "n", Addr: "n:1"}, FirstRequestAt: time.Now().Add(-time.Second)}
	for _, test := range []struct {
		name       string
		maxMembers int
		lost       []string
		retained   string
		removed    string
	}{
		{"added beside a lost backup", 9, []string{"b"}, "b", ""},
		{"replaces a lost member, not the lost backup", 9, []string{"b", "c"}, "b", "c"},
		{"replaces the lost backup if no member can be added", 3, []string{"b"}, "a", "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, ok := nextView(t, Policy{MaxMembers: test.maxMembers}, membersOf(3), candidate, test.lost...)
			if !ok || !next.HasMember("n") || !next.HasMember(test.retained) || next.HasMember(test.removed) {
				t.Errorf("got members %+v, backups %v, change due %v; want members n and %s but not %q", next.Members, next.Backups(), ok, test.retained, test.removed)
			}
		})
	}
}

// A lost member is removed if its removal lowers the majority, unless too few members would remain to tolerate the losses.
func TestLostMemberRemovedToLowerMajority(t *testing.T) {
	for _, test := range []struct {
		members, losses int
		removed         bool
	}{{4, 1, true}, {6, 1, true}, {6, 2, true}, {4, 2, false}, {3, 1, false}, {5, 1, false}, {2, 1, false}} {
		v := membersOf(test.members)
		last := v.Members[test.members-1].ID
		if test.members == 2 {
			v = v.WithBackups(nil)
		}
		next, ok := nextView(t, Policy{Losses: test.losses}, v, nil, last)
		if ok != test.removed || ok && next.HasMember(last) {
			t.Errorf("%d members, %d losses: got removal %v, %d members in the view, want removal %v", test.members, test.losses, ok, len(next.Members), test.removed)
		}
	}
}
