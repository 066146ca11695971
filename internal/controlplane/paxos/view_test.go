package paxos

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"
	"yarrowridge/internal/controlplane/view"

	"github.com/tinylib/msgp/msgp"
)

// memory is a disk without faults.
type memory map[string][]byte

func (m memory) Write(name string, data []byte) error { m[name] = data; return nil }
func (m memory) Read(name string) ([]byte, error)     { return m[name], nil }
func (m memory) List() ([]string, error)              { return nil, nil }
func (m memory) Remove(name string) error             { delete(m, name); return nil }
func (m memory) Sync() error                          { return nil }
func (m memory) Rename(from, to string) error         { m[to] = m[from]; delete(m, from); return nil }

// A view stored by a build that knew one backup only is read with that backup.
func TestViewOfOneBackupIsRead(t *testing.T) {
	raw := msgp.AppendMapHeader(nil, 3)
	raw = msgp.AppendUint64(msgp.AppendString(raw, "e"), 7)
	raw = msgp.AppendString(msgp.AppendString(raw, "p"), "a")
	raw = msgp.AppendString(msgp.AppendString(raw, "b"), "c")
	var v view.View
	if _, err := v.UnmarshalMsg(raw); err != nil {
		t.Fatal(err)
	}
	if got := v.Backups(); v.Epoch != 7 || v.Primary != "a" || !slices.Equal(got, []string{"c"}) || !v.IsBackup("c") || v.IsBackup("") {
		t.Errorf("%+v, backups %v", v, got)
	}
	if got := v.WithoutBackup("c").Backups(); len(got) != 0 {
		t.Errorf("backups %v after the only one was dropped", got)
	}
}

// The first backup stands where builds that know one look for it, and a dropped member backs nothing.
func TestBackupsOfAView(t *testing.T) {
	v := view.View{Members: []view.Member{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}, {ID: "c", Addr: "3"}}, Primary: "a"}.WithBackups([]string{"b", "c"})
	if v.FirstBackup != "b" || !v.IsBackup("c") || v.IsBackup("a") {
		t.Errorf("%+v", v)
	}
	next := v.WithoutMember("b")
	if next.FirstBackup != "c" || !slices.Equal(next.Backups(), []string{"c"}) || next.HasMember("b") || len(next.Members) != 2 {
		t.Errorf("without b: %+v", next)
	}
	if len(v.Members) != 3 || v.FirstBackup != "b" {
		t.Errorf("the view itself changed: %+v", v)
	}
	even := view.View{Members: v.WithMember(view.Member{ID: "d", Addr: "4"}).Members}
	if even.IsMajority(map[string]bool{"a": true, "b": true}) || !even.IsMajority(map[string]bool{"a": true, "b": true, "d": true}) {
		t.Error("three of four are a majority, two are not")
	}
}

// A primary gives its lease back at once; a release that is older than a grant, of another run or of
// another epoch ends nothing.
func TestReleaseOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voter, err := Open(memory{}, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		cur := view.View{Epoch: 3, Primary: "a", Members: []view.Member{{ID: "a", Addr: "1"}}}
		grant := func(run, turn uint64) {
			if g, err := voter.Renew(&RenewRequest{View: cur, PrimaryRun: run, Round: turn}); err != nil || !g.Ok {
				t.Fatalf("%+v %v", g, err)
			}
		}
		for _, c := range []struct {
			name             string
			epoch, run, turn uint64
			ends             bool
		}{
			{"an older turn", 3, 5, 7, false},
			{"the turn of the grant", 3, 5, 8, false},
			{"another run", 3, 6, 9, false},
			{"no run", 3, 0, 9, false},
			{"another epoch", 2, 5, 9, false},
			{"the next turn", 3, 5, 9, true},
		} {
			grant(5, 8)
			voter.Release(&ReleaseRequest{Epoch: c.epoch, PrimaryRun: c.run, Round: c.turn})
			if voter.Leased() == c.ends {
				t.Errorf("%s: leased %v", c.name, voter.Leased())
			}
		}
		grant(5, 10)
		grant(5, 8) // late
		if voter.Release(&ReleaseRequest{Epoch: 3, PrimaryRun: 5, Round: 9}); !voter.Leased() {
			t.Error("a release older than the newest grant ended it")
		}
	})
}
