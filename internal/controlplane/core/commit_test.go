package core

import (
	"sync"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// A batch is stored on all disks, but the lease has expired by then. The outcome is unknown, and the primary still answers from
// the state before the batch. It must not answer again, even if the lease is held again, until it has reread its state:
// otherwise a retry of the write would be acknowledged while reads do not show the write.
func TestCommitWithoutLeaseEndsWrites(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	primary.leadership.BeginEpoch(v.Epoch)
	primary.leadership.BeginWrites()
	tx := transaction.New(primary.store.Load())
	tx.PutRaw("key", []byte("value"))
	if err := primary.commit(v, tx); !wire.HasCode(err, coreapi.CodeOutcomeUnknown) {
		t.Fatalf("got error %v from a commit without a lease, want code %v", err, coreapi.CodeOutcomeUnknown)
	}
	for name, core := range map[string]*Server{"primary": primary, "backup": cores[1]} {
		if _, stored := core.store.Load().Get("key"); !stored {
			t.Errorf("the %s does not have the write, want it on both disks", name)
		}
	}
	if primary.leadership.IsReady() {
		t.Error("the primary still accepts writes, want it to reread its state first")
	}
}
