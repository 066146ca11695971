package service

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/wire"
)

// fakeHost is the only core process of a fleet. It commits each operation immediately, and is used by one goroutine.
type fakeHost struct {
	t             *testing.T
	committed     *store.Store
	acceptsWrites bool
	later         []pipeline.Class // of the operations passed to SubmitLater
}

func (h *fakeHost) View() view.View     { return view.View{Epoch: 1} }
func (h *fakeHost) IsPrimary() bool     { return true }
func (h *fakeHost) AcceptsWrites() bool { return h.acceptsWrites }
func (h *fakeHost) Store() *store.Store { return h.committed }

func (h *fakeHost) RequirePrimary() error {
	if !h.acceptsWrites {
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	return nil
}

func (h *fakeHost) Submit(_ context.Context, _ pipeline.Class, _ int, apply func(*transaction.Tx) error) error {
	if err := h.RequirePrimary(); err != nil {
		return err
	}
	tx := transaction.New(h.committed)
	if err := apply(tx); err != nil {
		return err
	}
	return h.committed.Append(store.Batch{Version: h.committed.Version() + 1, Mutations: tx.LastMutations()})
}

func (h *fakeHost) SubmitLater(class pipeline.Class, apply pipeline.Operation) {
	h.later = append(h.later, class)
	if err := h.Submit(context.Background(), class, 1, apply); err != nil {
		h.t.Error(err)
	}
}

// newService returns a service with an empty store. Its process does not accept writes yet.
func newService(t *testing.T) (*Service, *fakeHost) {
	t.Helper()
	committed, err := store.Open(sim.NewDisk().Open(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	host := &fakeHost{t: t, committed: committed}
	network, crash := sim.NewWorld(1).Net("10.0.0.1:1")
	t.Cleanup(crash)
	ctx := daemon.Context{Context: t.Context(), Name: "core", Log: slog.New(slog.DiscardHandler), Net: network}
	return New(ctx, Settings{Codec: configuration.FleetCodec{}, RunnerTimeout: time.Second}, host, wire.NewCaller(network)), host
}
