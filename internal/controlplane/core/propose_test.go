package core

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/wire"
)

// loopbackNet lets the cores of one test reach one another by names of their own.
type loopbackNet map[string]net.Listener

// Dial reaches the core with that name.
func (n loopbackNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return wire.TCP{}.Dial(ctx, n[addr].Addr().String())
}

// Listen is not called: the listeners are there before the cores.
func (n loopbackNet) Listen(addr string) (net.Listener, error) { return n[addr], nil }

// idleCores are cores that answer calls and run no loop; the first is primary, the second its backup. The calls of the
// kinds in lost fail at all but the first, which calls itself without the network; a kind may be limited to the core with
// one address, as in "view.prep c".
func idleCores(t *testing.T, count int, lost *sync.Map) ([]*Server, view.View) {
	t.Helper()
	reach := loopbackNet{}
	var cores []*Server
	v := view.View{Epoch: 1}
	for i := range count {
		addr := string(rune('a' + i))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		reach[addr] = listener
		ctx := daemon.Context{Context: t.Context(), Name: addr, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: reach}
		core, err := Open(ctx, Settings{Addr: addr, Losses: 1}.WithDefaults(), sim.NewDisk().Use())
		if err != nil {
			t.Fatal(err)
		}
		go wire.Serve(ctx, listener, func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
			_, isLost := lost.Load(kind)
			_, isLostHere := lost.Load(kind + " " + addr)
			if isLost || isLostHere {
				return nil, wire.StatusError{Code: "lost"}
			}
			return core.handlers.Dispatch(ctx, kind, body)
		})
		cores = append(cores, core)
		v.Members = append(v.Members, view.Member{ID: core.acceptor.ID(), Addr: addr})
	}
	v.Primary = v.Members[0].ID
	v = v.WithBackups([]string{v.Members[1].ID})
	for _, core := range cores {
		core.learn(v)
	}
	return cores, v
}

// A primary proposes a view with another backup and does not learn the outcome. That view may be chosen later, and its
// backup does not have what the primary would acknowledge with the old one.
func TestUnknownOutcomeEndsTheEpoch(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	primary.leadership.BeginWrites()
	asked := v.WithBackups([]string{v.Members[2].ID})
	lost.Store("view.pick", true)
	if primary.decide(v, asked, false) {
		t.Fatal("a view was chosen by one acceptor of three")
	}
	if primary.leadership.IsReady() || primary.leadership.MayLead(v.Epoch) {
		t.Errorf("got writes taken %v, epoch %d led on %v; want neither", primary.leadership.IsReady(), v.Epoch, primary.leadership.MayLead(v.Epoch))
	}
	lost.Delete("view.pick")
	// Only the primary itself has accepted that view. A majority without its promise would not tell of it.
	lost.Store("view.prep c", true)
	// The first attempt may fail: where the primary's own promise came last, it has not seen the number that it used.
	for range 3 {
		primary.nextAttempt = time.Time{}
		if primary.beginEpoch(v); primary.acceptor.View().Epoch != v.Epoch {
			break
		}
	}
	decided := primary.acceptor.View()
	if decided.Epoch != v.Epoch+1 || !decided.IsBackup(v.Members[2].ID) {
		t.Errorf("got epoch %d with backups %v, want epoch %d with the backup of the view that was accepted", decided.Epoch, decided.Backups(), v.Epoch+1)
	}
	if !primary.leadership.MayLead(decided.Epoch) {
		t.Error("the primary may not lead the epoch that it has decided")
	}
}

// Where too few acceptors have promised anything, none was asked to accept the view: the primary leads on.
func TestMissingPromisesDoNotEndTheEpoch(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	alone := v
	alone.Members = append(alone.Members[:1:1], view.Member{ID: "x", Addr: "b"}, view.Member{ID: "y", Addr: "c"})
	if primary.decide(alone, alone, false) {
		t.Fatal("a view was chosen by processes that are no members")
	}
	if !primary.leadership.MayLead(v.Epoch) {
		t.Error("the primary ended its epoch though nobody was asked to accept another view")
	}
}
