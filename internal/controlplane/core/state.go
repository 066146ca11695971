package core

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/view"
)

// State tells the core's own state.
func (s *Server) State() *coreapi.State {
	committed := s.store.Load()
	state := &coreapi.State{View: s.acceptor.View(), ID: s.acceptor.ID(), StoreVersion: committed.Version()}
	s.mu.Lock()
	s.routers.Expire(time.Now())
	state.Ready, state.ConfigVersion, state.DiskFailed = s.ready, s.config.Version, s.diskFailed
	state.Nodes = s.routers.List()
	for _, known := range s.candidates {
		state.Candidates = append(state.Candidates, known.member)
	}
	s.mu.Unlock()
	counts := idempotency.Count(committed)
	state.Claims, state.FinishedKeys, state.FinishedKeyChunks = counts.Claims, counts.FinishedKeys, counts.FinishedKeyChunks
	state.Shares = quotapool.Shares(committed)
	return state
}

// View is the newest view that this core knows.
func (s *Server) View() view.View { return s.acceptor.View() }
