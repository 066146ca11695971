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

// loopbackNet maps the addresses of one test's cores to listeners on the loopback interface.
type loopbackNet map[string]net.Listener

// Dial connects to the core with that address.
func (n loopbackNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return wire.TCP{}.Dial(ctx, n[addr].Addr().String())
}

// Listen returns the core's listener. No test calls it, since the listeners are opened before the cores.
func (n loopbackNet) Listen(addr string) (net.Listener, error) { return n[addr], nil }

// idleCores returns cores that answer calls but have no run loop, and their view: the first core is the primary, the second
// its backup. Calls of the kinds in lost fail; an entry may be limited to one core by its address, as in "view.prep c". The
// first core's calls to itself never fail, since they do not use the network.
func idleCores(t *testing.T, count int, lost *sync.Map) ([]*Server, view.View) {
	t.Helper()
	network := loopbackNet{}
	var cores []*Server
	v := view.View{Epoch: 1}
	for i := range count {
		addr := string(rune('a' + i))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		network[addr] = listener
		ctx := daemon.Context{Context: t.Context(), Name: addr, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: network}
		core, err := Open(ctx, Settings{Addr: addr, Losses: 1}.WithDefaults(), sim.NewDisk().Open())
		if err != nil {
			t.Fatal(err)
		}
		go wire.Serve(ctx, listener, func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
			_, lostEverywhere := lost.Load(kind)
			_, lostHere := lost.Load(kind + " " + addr)
			if lostEverywhere || lostHere {
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

// A primary proposes a view with another backup and does not learn the outcome. That view may be chosen later, and its backup
// would not have the writes that the primary acknowledges with the old backup. So the primary must end its epoch.
func TestUnknownOutcomeEndsTheEpoch(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	primary.leadership.BeginWrites()
	proposed := v.WithBackups([]string{v.Members[2].ID})
	lost.Store("view.pick", true)
	if primary.decide(v, proposed, false) {
		t.Fatal("the view was chosen with one acceptor of three")
	}
	if primary.leadership.IsReady() || primary.leadership.MayLead(v.Epoch) {
		t.Errorf("got writes accepted %v, may lead epoch %d %v; want neither", primary.leadership.IsReady(), v.Epoch, primary.leadership.MayLead(v.Epoch))
	}
	lost.Delete("view.pick")
	// Only the primary itself has accepted that view, so its promise must be part of the majority: c does not promise.
	lost.Store("view.prep c", true)
	// The first attempt may fail: if the primary's own promise came last, the proposer did not learn that its proposal number
	// was promised, and uses that number again.
	for range 3 {
		primary.nextAttempt = time.Time{}
		if primary.beginEpoch(v); primary.acceptor.View().Epoch != v.Epoch {
			break
		}
	}
	decided := primary.acceptor.View()
	if decided.Epoch != v.Epoch+1 || !decided.IsBackup(v.Members[2].ID) {
		t.Errorf("got epoch %d with backups %v, want epoch %d with the backup of the accepted view", decided.Epoch, decided.Backups(), v.Epoch+1)
	}
	if !primary.leadership.MayLead(decided.Epoch) {
		t.Error("the primary may not lead the epoch that it decided, want that it may")
	}
}

// If too few acceptors promise, the proposer sends no acceptor the view. So the view cannot be chosen later, and the primary
// keeps its epoch.
func TestMissingPromisesDoNotEndTheEpoch(t *testing.T) {
	var lost sync.Map
	cores, v := idleCores(t, 3, &lost)
	primary := cores[0]
	other := v
	other.Members = append(other.Members[:1:1], view.Member{ID: "x", Addr: "b"}, view.Member{ID: "y", Addr: "c"})
	if primary.decide(other, other, false) {
		t.Fatal("a view was chosen though only one of its members exists")
	}
	if !primary.leadership.MayLead(v.Epoch) {
		t.Error("the primary ended its epoch though no acceptor was sent the view")
	}
}
