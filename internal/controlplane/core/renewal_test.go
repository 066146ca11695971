package core

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/wire"
)

// An acceptor grants the lease at some moment between the request and its answer. The primary counts from the request: with a
// slow answer its lease would otherwise outlast the acceptor's grant.
func TestGrantCountsFromItsRequest(t *testing.T) {
	const answerTime, term = 100 * time.Millisecond, 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network, crash := sim.NewWorld(1).Net("10.0.0.1:1")
		defer crash()
		ctx := daemon.Context{Context: t.Context(), Name: "a", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: network}
		primary, err := Open(ctx, Settings{Addr: "10.0.0.1:1", LeaseTerm: term}.WithDefaults(), sim.NewDisk().Use())
		if err != nil {
			t.Fatal(err)
		}
		self := view.Member{ID: primary.acceptor.ID(), Addr: "10.0.0.1:1"}
		primary.handlers = wire.Handlers{"view": func(context.Context, string, []byte) (msgp.Marshaler, error) {
			time.Sleep(answerTime)
			return &paxos.RenewResponse{ID: self.ID, Granted: true}, nil
		}}
		granted := func(grants map[string]bool) bool { return grants[self.ID] }
		primacy := lease.New(term)
		requestedAt := time.Now()
		primary.renewAt(paxos.RenewRequest{View: view.View{Members: []view.Member{self}}}, self, primacy)
		want := requestedAt.Add(term - term/10)
		time.Sleep(time.Until(want) - time.Millisecond)
		if !primacy.IsHeld(granted) {
			t.Error("got no lease a millisecond before it ends, want one")
		}
		time.Sleep(time.Millisecond)
		if primacy.IsHeld(granted) {
			t.Errorf("got a lease %s after its request, want none", term-term/10)
		}
	})
}
