package membership

import (
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// nextView is the view after one, where some members have been silent for long. What the policy leaves out is as by default.
func nextView(t *testing.T, policy Policy, v view.View, newcomer *Candidate, lost ...string) (next view.View, ok bool) {
	t.Helper()
	policy.LostAfter = 10 * time.Second
	if policy.Losses == 0 {
		policy.Losses = 1
	}
	if policy.MaxMembers == 0 {
		policy.MaxMembers = 9
	}
	return policy.NextView(v, newcomer, func(id string) time.Duration {
		if slices.Contains(lost, id) {
			return time.Minute
		}
		return 0
	})
}

// membersOf is a view of members a, b, … whose primary is a and whose backup is b.
func membersOf(count int) view.View {
	v := view.View{Epoch: 1, Primary: "a", TargetSize: count}
	for i := range count {
		id := string(rune('a' + i))
		v.Members = append(v.Members, view.Member{ID: id, Addr: id + ":1"})
	}
	return v.WithBackups([]string{"b"})
}

// A backup that is silent for long holds all that was acknowledged. It is replaced by a newcomer only where there is no room
// beside it: the newcomer has no replica yet.
func TestLostBackupStaysUntilThereIsAnother(t *testing.T) {
	newcomer := &Candidate{Member: view.Member{ID: "n", Addr: "n:1"}, FirstRequestAt: time.Now().Add(-time.Second)}
	for _, test := range []struct {
		name       string
		maxMembers int
		lost       []string
		stays      string
		gone       string
	}{
		{"beside a lost backup", 9, []string{"b"}, "b", ""},
		{"in place of a lost member, not of the backup", 9, []string{"b", "c"}, "b", "c"},
		{"where there is no room", 3, []string{"b"}, "a", "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, ok := nextView(t, Policy{MaxMembers: test.maxMembers}, membersOf(3), newcomer, test.lost...)
			if !ok || !next.HasMember("n") || !next.HasMember(test.stays) || next.HasMember(test.gone) {
				t.Errorf("got members %+v, backups %v, change due %v; want n and %s, without %q", next.Members, next.Backups(), ok, test.stays, test.gone)
			}
		})
	}
}

// A member that is lost for long counts no more where fewer are a majority without it, and never so that too few are left.
func TestLostMemberThatRaisesTheMajority(t *testing.T) {
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
			t.Errorf("%d members, %d losses: got a removal %v of %d members, want %v", test.members, test.losses, ok, len(next.Members), test.removed)
		}
	}
}
