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

// openStore reads the stored state. Where it is damaged it is set aside, and the acceptor starts blank.
func openStore(ctx daemon.Context, disk store.Disk, acceptor *paxos.Acceptor) (*store.Store, error) {
	opened, err := store.Open(disk, ctx.WithComponent("store").Log)
	if !errors.Is(err, store.ErrCorrupt) {
		return opened, err
	}
	ctx.Log.Error("State is damaged; set aside. This disk counts as blank.", "error", err.Error())
	if err := setAside(disk); err != nil {
		return nil, err
	}
	if err := acceptor.Reset(); err != nil {
		return nil, err
	}
	return store.Open(disk, ctx.Log)
}

// setAside renames the files of the stored state, so that they are read no more but can be looked into.
func setAside(disk store.Disk) error {
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

// failDisk records that our own disk can't be relied on: we stop leading, and store nothing as backup, until the disk has
// recovered.
func (s *Server) failDisk(err error) {
	if first, round := s.leadership.FailDisk(); first {
		s.renewer.Release(round)
		s.ctx.Log.Error("Disk failed. Leadership and replication stop.", "error", err.Error())
		go s.recoverDisk()
	}
}

// recoverDisk waits until the disk takes a synced file again, then reads all anew from it.
func (s *Server) recoverDisk() {
	for runloop.Sleep(s.ctx, recoveryCheckInterval) {
		if s.disk.Write("probe", []byte("probe")) == nil && s.reopenStore() {
			s.ctx.Log.Info("Disk is sound again.")
			return
		}
	}
}

// host is this process as the host of its replication.Backup.
type host struct{ s *Server }

// Store implements replication.Host.
func (h host) Store() *store.Store { return h.s.store.Load() }

// HasDiskFailed implements replication.Host.
func (h host) HasDiskFailed() bool { return h.s.leadership.HasDiskFailed() }

// FailDisk implements replication.Host.
func (h host) FailDisk(err error) { h.s.failDisk(err) }

// reopenStore recovers the state from disk, and reports whether it could. Nothing is stored as backup meanwhile.
func (s *Server) reopenStore() (recovered bool) {
	s.backup.WithLock(func() { recovered = s.reopenStoreLocked() })
	return recovered
}

// reopenStoreLocked is reopenStore while nothing is stored as backup.
func (s *Server) reopenStoreLocked() bool {
	s.store.Load().Close() // a write that got stuck must end before the disk is read anew
	opened, err := store.Open(s.disk, s.ctx.Log)
	if err != nil {
		return false
	}
	s.store.Store(opened)
	s.leadership.RecoverDisk(s.acceptor.View().Epoch)
	return true
}
