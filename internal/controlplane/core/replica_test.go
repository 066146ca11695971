package core

import (
	"io"
	"log/slog"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// newBackup is a core that runs no loop, and a view in which it is the backup.
func newBackup(t *testing.T) (*Server, view.View) {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ctx := daemon.Context{Context: t.Context(), Name: "backup", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
	s, err := Open(ctx, Settings{Addr: "10.0.0.2:1"}, disk)
	if err != nil {
		t.Fatal(err)
	}
	v := view.View{Epoch: 3, Primary: "p", Members: []view.Member{{ID: "p", Addr: "10.0.0.1:1"}, {ID: s.acceptor.ID(), Addr: "10.0.0.2:1"}}}
	return s, v.WithBackups([]string{s.acceptor.ID()})
}

// A snapshot whose sender gave it up arrives after the next one, and after writes that were acknowledged since: the backup
// keeps those.
func TestLateSnapshotIsRejected(t *testing.T) {
	s, v := newBackup(t)
	snapshot := func(number, version uint64) error {
		puts := []store.Mutation{{Key: "version", Value: []byte{byte(version)}}}
		_, err := s.takeSnapshot(&SnapshotRequest{View: v, Primary: "p", Snapshot: number, Version: version, Last: true, Mutations: puts})
		return err
	}
	if err := snapshot(2, 7); err != nil {
		t.Fatal(err)
	}
	if _, err := s.takeBatch(&ReplicateRequest{View: v, Primary: "p", Batch: store.Batch{Version: 8, Mutations: []store.Mutation{{Key: "acknowledged", Value: []byte{1}}}}}); err != nil {
		t.Fatal(err)
	}
	for _, number := range []uint64{1, 2} {
		if err := snapshot(number, 6); !wire.HasCode(err, coreapi.CodeSnapshotMismatch) {
			t.Errorf("snapshot %d after snapshot 2 ended with %v", number, err)
		}
	}
	if _, ok := s.store.Load().Get("acknowledged"); !ok || s.store.Load().Version() != 8 {
		t.Errorf("the backup is at version %d, acknowledged write held: %v", s.store.Load().Version(), ok)
	}
	v.Epoch++
	if err := snapshot(1, 9); err != nil {
		t.Errorf("the first snapshot of the next epoch: %v", err)
	}
}
