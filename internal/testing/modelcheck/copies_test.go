package modelcheck

import (
	"sync"

	"yarrowridge/internal/controlplane/core"
)

// copyMonitor holds a process's copy of the state against invariant I4: within an epoch it never goes back. A copy that does
// is brought forward again by the next write, so that clients see nothing of it unless the primary is lost just then.
type replicaMonitor struct {
	history *history

	mu      sync.Mutex // held while a copy is looked at: two looks are in the order of their results
	epoch   uint64
	version uint64
}

// look compares the copy with what it was at the last look.
func (m *replicaMonitor) check(addr string, server *core.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := server.View().Epoch
	state := server.State()
	if state.DiskFailed || state.View.Epoch != epoch || server.View().Epoch != epoch {
		return // a view or a disk that changes meanwhile: the next look will tell
	}
	if epoch == m.epoch && state.StoreVersion < m.version {
		m.history.fail("the copy at %s went back from version %d to %d in epoch %d", addr, m.version, state.StoreVersion, epoch)
	}
	m.epoch, m.version = epoch, state.StoreVersion
}
