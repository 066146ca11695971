package core

import (
	"sync"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// A batch is on all disks, but the lease has run out when they are done. The outcome is unknown, and what the primary answers
// from is the state before the batch: it answers nothing, should its lease be held again, before it has read its state anew.
// Else the write, repeated, would be acknowledged beside reads that do not show it.
func TestCommitWithoutLeaseEndsWrites(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	primary.leadership.BeginEpoch(v.Epoch)
	primary.leadership.BeginWrites()
	tx := transaction.New(primary.store.Load())
	tx.PutRaw("key", []byte("value"))
	if err := primary.commit(v, tx); !wire.HasCode(err, coreapi.CodeOutcomeUnknown) {
		t.Fatalf("got error %v of a commit without a lease, want code %v", err, coreapi.CodeOutcomeUnknown)
	}
	for name, core := range map[string]*Server{"primary": primary, "backup": cores[1]} {
		if _, stored := core.store.Load().Get("key"); !stored {
			t.Errorf("the %s does not have the write, want it on both disks", name)
		}
	}
	if primary.leadership.IsReady() {
		t.Error("got a primary that is ready, want one that reads its state anew first")
	}
}
