package view

import (
	"slices"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// A view stored by an older build, which supported a single backup, is decoded with that backup.
func TestViewWithOneBackupIsDecoded(t *testing.T) {
	raw := msgp.AppendMapHeader(nil, 3)
	raw = msgp.AppendUint64(msgp.AppendString(raw, "e"), 7)
	raw = msgp.AppendString(msgp.AppendString(raw, "p"), "a")
	raw = msgp.AppendString(msgp.AppendString(raw, "b"), "c")
	var v View
	if _, err := v.UnmarshalMsg(raw); err != nil {
		t.Fatal(err)
	}
	if got := v.Backups(); v.Epoch != 7 || v.Primary != "a" || !slices.Equal(got, []string{"c"}) || !v.IsBackup("c") || v.IsBackup("") {
		t.Errorf("got %+v with backups %v, want epoch 7, primary a and backup c", v, got)
	}
	if got := v.WithoutBackup("c").Backups(); len(got) != 0 {
		t.Errorf("got backups %v after the only one was removed, want none", got)
	}
}

// viewOfThree returns a view with the primary a and its backups b and c.
func viewOfThree() View {
	members := []Member{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}, {ID: "c", Addr: "3"}}
	return View{Members: members, Primary: "a"}.WithBackups([]string{"b", "c"})
}

// FirstBackup, which older builds read, is the first of the backups, and removing a member removes it from the backups. The
// original view does not change.
func TestRemovedMemberIsNoBackup(t *testing.T) {
	v := viewOfThree()
	if v.FirstBackup != "b" || !v.IsBackup("c") || v.IsBackup("a") {
		t.Errorf("got %+v, want first backup b, backup c, and a no backup", v)
	}
	next := v.WithoutMember("b")
	if next.FirstBackup != "c" || !slices.Equal(next.Backups(), []string{"c"}) || next.HasMember("b") || len(next.Members) != 2 {
		t.Errorf("got %+v without b, want backup c and two members", next)
	}
	if len(v.Members) != 3 || v.FirstBackup != "b" {
		t.Errorf("the original view changed: got %+v", v)
	}
}

func TestIsMajority(t *testing.T) {
	v := viewOfThree().WithMember(Member{ID: "d", Addr: "4"})
	for _, test := range []struct {
		responded []string
		want      bool
	}{
		{[]string{"a", "b"}, false},
		{[]string{"a", "b", "d"}, true},
	} {
		responded := map[string]bool{}
		for _, id := range test.responded {
			responded[id] = true
		}
		if got := v.IsMajority(responded); got != test.want {
			t.Errorf("%v of four members: got majority %v, want %v", test.responded, got, test.want)
		}
	}
}
