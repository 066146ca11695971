package modelcheck

import (
	"sync"

	"yarrowridge/internal/controlplane/core"
)

// replicaMonitor checks a process's copy of the state against invariant I4: within an epoch its version never decreases.
// The next write brings a copy that went back up to date again, so that clients notice it only if the primary is lost in
// between.
type replicaMonitor struct {
	history *history

	mu      sync.Mutex // held during a check, so that checks are ordered by their results
	epoch   uint64
	version uint64
}

// check compares the copy with its version at the last check.
func (m *replicaMonitor) check(addr string, server *core.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := server.View().Epoch
	state := server.State()
	if state.DiskFailed || state.View.Epoch != epoch || server.View().Epoch != epoch {
		return // the view is changing or the disk has failed: left to the next check
	}
	if epoch == m.epoch && state.StoreVersion < m.version {
		m.history.fail("the copy at %s went back from version %d to %d in epoch %d", addr, m.version, state.StoreVersion, epoch)
	}
	m.epoch, m.version = epoch, state.StoreVersion
}
