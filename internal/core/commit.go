package core

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/env"
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// job is one operation of the run loop; its state says who may still end it.
type job struct {
	do    func(*Tx) error
	step  func()       // in place of do: a step of the run loop's own
	state atomic.Int32 // 0 waiting, 1 taken, 2 given up
	done  chan error
	err   error
}

// Submit passes an operation to the run loop and waits for its outcome. The error is NotReady
// where the operation surely was not and will not be taken, InDoubt where it may be.
//
//	err := srv.Submit(ctx, func(tx *core.Tx) error { ... })
func (s *Server) Submit(ctx context.Context, do func(*Tx) error) error {
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready {
		if v := s.voter.View(); v.Primary != s.voter.Id() {
			return wire.Fault{Code: NotPrimary}
		}
		return wire.Fault{Code: NotReady}
	}
	j := &job{do: do, done: make(chan error, 1)}
	select {
	case s.jobs <- j:
	default:
		return wire.Fault{Code: NotReady}
	}
	select {
	case err := <-j.done:
		return err
	case <-ctx.Done():
		if j.state.CompareAndSwap(0, 2) {
			return wire.Fault{Code: NotReady}
		}
		return wire.Fault{Code: InDoubt}
	}
}

// runBatch takes a job and all that wait behind it, and syncs them as one batch.
func (s *Server) runBatch(first *job) {
	if first.step != nil {
		first.step()
		close(first.done)
		return
	}
	s.mu.Lock()
	ready, epoch := s.ready, s.epoch
	s.mu.Unlock()
	v := s.voter.View()
	tx := &Tx{store: s.store.Load(), newest: map[string]*store.Put{}}
	ok := ready && v.Epoch == epoch && s.isPrimary(v)
	var live []*job
	for j, n := first, 0; j != nil; n++ {
		switch {
		case !j.state.CompareAndSwap(0, 1):
		case !ok:
			j.done <- wire.Fault{Code: NotReady}
		default:
			mark := len(tx.puts)
			if j.err = j.do(tx); j.err != nil {
				tx.undo(mark)
			}
			live = append(live, j)
		}
		j = nil
		if n < maxBatchJobs && tx.size < maxBatchBytes {
			select {
			case j = <-s.jobs:
				if j.step != nil {
					defer s.runBatch(j)
					j = nil
				}
			default:
			}
		}
	}
	err := s.commit(v, tx)
	for _, j := range live {
		if err != nil {
			j.done <- err
		} else {
			j.done <- j.err
		}
	}
	if err == nil && len(tx.puts) > 0 {
		if err := tx.store.Tidy(); err != nil {
			s.failDisk(err)
		}
	}
}

// commit holds the batch on our disk and the backups' and looks at the lease once more. Only then is it done.
func (s *Server) commit(v view.View, tx *Tx) error {
	doubt := wire.Fault{Code: InDoubt}
	if len(tx.puts) == 0 {
		if !s.isPrimary(v) {
			return wire.Fault{Code: NotReady}
		}
		return nil
	}
	st := tx.store
	b := store.Batch{Seq: st.Seq() + 1, Puts: tx.newestPuts()}
	mine, far := make(chan error, 1), make(chan []string, 1)
	go func() { mine <- st.Add(b) }()
	go func() { far <- s.replicate(v, b) }()
	slow := time.NewTimer(diskTimeout)
	defer slow.Stop()
	select {
	case err := <-mine:
		if err != nil {
			s.failDisk(err)
			return doubt
		}
	case <-slow.C:
		s.failDisk(eris.New("sync takes too long"))
		return doubt
	}
	if failed := <-far; len(failed) > 0 {
		s.noteFailed(failed)
		if !s.replaceBackups(v, failed) {
			return doubt
		}
	} else if !s.isPrimary(v) {
		return doubt
	}
	s.applyCommitted(tx)
	return nil
}

// replaceBackups leads on until other backups hold all, the unanswered batch included.
func (s *Server) replaceBackups(v view.View, failed []string) bool {
	s.setReady(false)
	me := s.voter.Id()
	next := v
	for _, id := range failed {
		next = next.WithoutBackup(id)
	}
	s.decide(v, next, false)
	for end := time.Now().Add(replaceTimeout); time.Now().Before(end); {
		cur := s.voter.View()
		if cur.Primary != me || s.hasDiskFailed() {
			return false
		}
		s.lead(cur, me)
		s.mu.Lock()
		ready := s.ready
		s.mu.Unlock()
		if ready && s.isPrimary(s.voter.View()) {
			return true
		}
		if !env.Wait(s.ctx, tickEvery) {
			return false
		}
	}
	return false
}

// applyCommitted makes a committed layout the one that is told to nodes.
func (s *Server) applyCommitted(tx *Tx) {
	for _, p := range tx.puts {
		if strings.HasPrefix(p.Key, finishedPrefix) {
			s.finishedKeys.apply(p)
		}
	}
	if p, ok := tx.newest["layout"]; ok {
		var sheet StoredConfig
		if _, err := sheet.UnmarshalMsg(p.Val); err == nil {
			s.mu.Lock()
			s.config = sheet
			s.mu.Unlock()
		}
	}
}
