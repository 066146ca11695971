package core

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/view"
)

// State returns a summary of this core's state.
func (s *Server) State() *coreapi.State {
	committed := s.store.Load()
	status := s.service.Status()
	state := &coreapi.State{View: s.acceptor.View(), ID: s.acceptor.ID(), StoreVersion: committed.Version()}
	state.Ready, state.ConfigVersion, state.DiskFailed = status.AcceptsWrites, status.ConfigVersion, s.leadership.HasDiskFailed()
	state.Nodes = status.Routers
	state.Candidates = s.candidates.Members()
	counts := idempotency.Count(committed)
	state.Claims, state.FinishedKeys, state.FinishedKeyChunks = counts.Claims, counts.FinishedKeys, counts.FinishedKeyChunks
	state.Shares = quotapool.Shares(committed)
	return state
}

// View returns the newest view that this core knows.
func (s *Server) View() view.View { return s.acceptor.View() }
