package replication

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// healthyHost is a host whose disk works. A reported disk failure fails the test.
type healthyHost struct {
	t     *testing.T
	store *store.Store
}

func (h healthyHost) Store() *store.Store { return h.store }
func (h healthyHost) HasDiskFailed() bool { return false }
func (h healthyHost) FailDisk(err error)  { h.t.Errorf("got a disk failure: %v", err) }

// newBackup returns a backup, its store, and a view in which it is the backup of primary p.
func newBackup(t *testing.T) (*Backup, *store.Store, view.View) {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	acceptor, err := paxos.Open(disk, time.Second, log)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(disk, log)
	if err != nil {
		t.Fatal(err)
	}
	v := view.View{Epoch: 3, Primary: "p", Members: []view.Member{{ID: "p", Addr: "10.0.0.1:1"}, {ID: acceptor.ID(), Addr: "10.0.0.2:1"}}}
	return NewBackup(healthyHost{t, opened}, acceptor), opened, v.WithBackups([]string{acceptor.ID()})
}

// A delayed snapshot, which the primary has given up, arrives after the next snapshot and after an acknowledged write. The
// backup must reject it and keep that write.
func TestDelayedSnapshotIsRejected(t *testing.T) {
	backup, replica, v := newBackup(t)
	snapshot := func(number, version uint64) error {
		mutations := []store.Mutation{{Key: "version", Value: []byte{byte(version)}}}
		_, err := backup.HandleSnapshot(&SnapshotRequest{View: v, Primary: "p", Snapshot: number, Version: version, Last: true, Mutations: mutations})
		return err
	}
	if err := snapshot(2, 7); err != nil {
		t.Fatal(err)
	}
	batch := store.Batch{Version: 8, Mutations: []store.Mutation{{Key: "acknowledged", Value: []byte{1}}}}
	if _, err := backup.HandleReplicate(&ReplicateRequest{View: v, Primary: "p", Batch: batch}); err != nil {
		t.Fatal(err)
	}
	for _, number := range []uint64{1, 2} {
		if err := snapshot(number, 6); !wire.HasCode(err, coreapi.CodeSnapshotMismatch) {
			t.Errorf("snapshot %d after snapshot 2: got error %v, want code %v", number, err, coreapi.CodeSnapshotMismatch)
		}
	}
	if _, ok := replica.Get("acknowledged"); !ok || replica.Version() != 8 {
		t.Errorf("got version %d, acknowledged write present: %v, want version 8, true", replica.Version(), ok)
	}
	v.Epoch++
	if err := snapshot(1, 9); err != nil {
		t.Errorf("the first snapshot of the next epoch: got error %v, want none", err)
	}
}
