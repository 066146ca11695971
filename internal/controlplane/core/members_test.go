package core

import (
	"testing"
	"time"
	"yarrowridge/internal/controlplane/view"
)

// nextOf gives the members and backups of the view after one, where some members are silent for long.
func nextOf(t *testing.T, settings Settings, v view.View, newcomer *candidate, lost ...string) (next view.View, ok bool) {
	t.Helper()
	s := &Server{settings: settings.WithDefaults()}
	return s.nextMembers(v, newcomer, func(id string) time.Duration {
		for _, one := range lost {
			if id == one {
				return time.Minute
			}
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

// A backup that is silent for long holds all that was acknowledged. It gives its place to a newcomer only where there is no
// room beside it: the newcomer has no copy yet.
func TestLostBackupStaysUntilThereIsAnother(t *testing.T) {
	newcomer := &candidate{member: view.Member{ID: "n", Addr: "n:1"}, firstAsked: time.Now().Add(-time.Second)}
	for _, one := range []struct {
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
		t.Run(one.name, func(t *testing.T) {
			next, ok := nextOf(t, Settings{MaxMembers: one.maxMembers}, membersOf(3), newcomer, one.lost...)
			if !ok || !next.HasMember("n") || !next.HasMember(one.stays) || next.HasMember(one.gone) {
				t.Errorf("members %+v, backups %v, decided %v", next.Members, next.Backups(), ok)
			}
		})
	}
}

// A member that is lost for long counts no more where fewer are a majority without it, and never so that too few are left.
func TestLostMemberThatRaisesTheMajority(t *testing.T) {
	for _, one := range []struct {
		members, losses int
		dropped         bool
	}{{4, 1, true}, {6, 1, true}, {6, 2, true}, {4, 2, false}, {3, 1, false}, {5, 1, false}, {2, 1, false}} {
		v := membersOf(one.members)
		last := v.Members[one.members-1].ID
		if one.members == 2 {
			v = v.WithBackups(nil)
		}
		next, ok := nextOf(t, Settings{Losses: one.losses}, v, nil, last)
		if ok != one.dropped || ok && next.HasMember(last) {
			t.Errorf("%d members, %d losses: dropped %v, members %d", one.members, one.losses, ok, len(next.Members))
		}
	}
}
