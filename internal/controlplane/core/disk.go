package core

import (
	"errors"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

// recoveryCheckInterval is the time between two attempts to write to a disk that has failed.
const recoveryCheckInterval = 2 * time.Second

// openStore reads the stored state. If it is damaged, its files are set aside and the acceptor starts blank.
func openStore(ctx daemon.Context, disk store.Disk, acceptor *paxos.Acceptor) (*store.Store, error) {
	opened, err := store.Open(disk, ctx.WithComponent("store").Log)
	if !errors.Is(err, store.ErrCorrupt) {
		return opened, err
	}
	ctx.Log.Error("State is damaged; set aside. This disk counts as blank.", "error", err.Error())
	if err := quarantineStoredState(disk); err != nil {
		return nil, err
	}
	if err := acceptor.Reset(); err != nil {
		return nil, err
	}
	return store.Open(disk, ctx.Log)
}

// quarantineStoredState renames the files of the stored state, so that they are no longer read but can be inspected.
func quarantineStoredState(disk store.Disk) error {
	names, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if len(name) <= len("v-") || !strings.HasPrefix(name, "v-") {
			continue
		}
		if err := disk.Rename(name, "bad-"+name); err != nil {
			return err
		}
	}
	return nil
}

// failDisk records that this process's disk has failed. Until it has recovered, the process neither leads nor stores anything
// as backup.
func (s *Server) failDisk(err error) {
	if first, round := s.leadership.FailDisk(); first {
		s.renewer.Release(round)
		s.ctx.Log.Error("Disk failed. Leadership and replication stop.", "error", err.Error())
		go s.recoverDisk()
	}
}

// recoverDisk waits until a synced write to the disk succeeds again, then rereads the state from disk.
func (s *Server) recoverDisk() {
	for runloop.Sleep(s.ctx, recoveryCheckInterval) {
		if s.disk.Write("probe", []byte("probe")) == nil && s.reopenStore() {
			s.ctx.Log.Info("Disk is sound again.")
			return
		}
	}
}

// replicationHost implements replication.Host.
type replicationHost struct{ s *Server }

// Store implements replication.Host.
func (h replicationHost) Store() *store.Store { return h.s.store.Load() }

// HasDiskFailed implements replication.Host.
func (h replicationHost) HasDiskFailed() bool { return h.s.leadership.HasDiskFailed() }

// FailDisk implements replication.Host.
func (h replicationHost) FailDisk(err error) { h.s.failDisk(err) }

// reopenStore rereads the state from disk, and reports whether it succeeded. Nothing is stored as backup in the meantime.
func (s *Server) reopenStore() (recovered bool) {
	s.backup.WithLock(func() { recovered = s.reopenStoreLocked() })
	return recovered
}

// reopenStoreLocked is reopenStore; the caller makes sure that nothing is stored as backup.
func (s *Server) reopenStoreLocked() bool {
	s.store.Load().Close() // a blocked write must end before the disk is reread
	opened, err := store.Open(s.disk, s.ctx.Log)
	if err != nil {
		return false
	}
	s.store.Store(opened)
	s.leadership.RecoverDisk(s.acceptor.View().Epoch)
	return true
}
