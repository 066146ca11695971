package core

import (
	"log/slog"
	"testing"
	"time"

	"yarrowridge/internal/share"
	"yarrowridge/internal/store"
)

// A pot is decoded once, and one that a failed job or a failed batch changed is read anew.
func TestPotsAreReadAnewAfterAFailure(t *testing.T) {
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	st, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{pot: potCache{}, short: map[string]time.Time{}}
	s.st.Store(st)
	begin := func() *Tx { return &Tx{st: st, over: map[string]*store.Put{}} }
	draw := func(tx *Tx, turn uint64) int {
		out, err := s.moveIn(tx, "a", &Move{Tenant: "t", Turn: turn, Units: 1}, &Document{Quotas: map[string]int{"t": 100}})
		if err != nil {
			t.Fatal(err)
		}
		return out.Have
	}
	commit := func(tx *Tx) {
		if err := st.Add(store.Batch{Seq: st.Seq() + 1, Puts: tx.last()}); err != nil {
			t.Fatal(err)
		}
	}
	tx := begin()
	draw(tx, 1)
	draw(tx, 2)
	if puts := tx.last(); len(puts) != 1 {
		t.Fatalf("%d puts of one pot, 1 expected", len(puts))
	}
	commit(tx)

	lost := begin() // never committed
	if have := draw(lost, 3); have != 3 {
		t.Fatalf("%d units in the batch, 3 expected", have)
	}
	undone := begin()
	mark := len(undone.puts)
	draw(undone, 4)
	undone.undo(mark)

	tx = begin()
	if have := draw(tx, 3); have != 3 {
		t.Errorf("%d units after a lost batch and an undone job, 3 expected", have)
	}
	commit(tx)
	p, err := s.pot.get(begin(), "t")
	if err != nil || p.Held["a"] != (share.Hold{Turn: 3, Units: 3}) {
		t.Errorf("pot %+v, %v", p, err)
	}
}
