package core

import (
	"context"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// serviceHost implements service.Host.
type serviceHost struct{ s *Server }

// View implements service.Host.
func (h serviceHost) View() view.View { return h.s.acceptor.View() }

// IsPrimary implements service.Host.
func (h serviceHost) IsPrimary() bool { return h.s.isPrimary(h.s.acceptor.View()) }

// AcceptsWrites implements service.Host.
func (h serviceHost) AcceptsWrites() bool { return h.s.leadership.IsReady() }

// RequirePrimary implements service.Host.
func (h serviceHost) RequirePrimary() error { return h.s.requirePrimary() }

// Store implements service.Host.
func (h serviceHost) Store() *store.Store { return h.s.store.Load() }

// Submit implements service.Host. The error has code CodeNotPrimary, CodeNotReady or CodeOverloaded if the operation has not
// been committed and never will be, and CodeOutcomeUnknown if it may be committed.
func (h serviceHost) Submit(ctx context.Context, class pipeline.Class, weight int, apply func(*transaction.Tx) error) error {
	if !h.s.leadership.IsReady() {
		if v := h.s.acceptor.View(); v.Primary != h.s.acceptor.ID() {
			return wire.StatusError{Code: coreapi.CodeNotPrimary}
		}
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	return h.s.pipeline.Submit(ctx, class, weight, apply)
}

// SubmitLater implements service.Host.
func (h serviceHost) SubmitLater(class pipeline.Class, apply pipeline.Operation) {
	h.s.pipeline.SubmitLater(class, apply)
}
