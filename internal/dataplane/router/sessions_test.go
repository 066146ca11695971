package router

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// newsFleet is the news of some routers, joined without a network, and a core that keeps the directory.
type newsFleet struct {
	*testing.T
	routers  []*sessionNews
	records  int // that were spread
	handed   int // that were handed over directly
	keeps    int
	kept     []byte
	coreDown bool
}

func newNewsFleet(t *testing.T, names ...string) *newsFleet {
	f := &newsFleet{T: t}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts a router's news; one of the same name is replaced.
func (f *newsFleet) start(name string) *sessionNews {
	ctx := daemon.Context{Context: f.Context(), Name: name, Zone: "east", RunID: uint64(len(f.routers) + 1), Log: slog.New(slog.DiscardHandler)}
	balancer := balance.New("east")
	s := &sessionNews{ctx: ctx, balancer: balancer, directory: balancer.Sessions, nodes: f.nodes, call: f.call, core: f.core}
	s.spread = func(news dissemination.Update) {
		f.records += len(news.Records)
		f.deliver(news.Records)
	}
	s.sure = func(_ context.Context, records []dissemination.Record) bool {
		f.handed += len(records)
		f.deliver(records)
		return true
	}
	for i, router := range f.routers {
		if router.ctx.Name == name {
			f.routers[i] = s
			return s
		}
	}
	f.routers = append(f.routers, s)
	return s
}

func (f *newsFleet) deliver(records []dissemination.Record) {
	for _, router := range f.routers {
		for _, record := range records {
			router.see(record)
		}
	}
}

func (f *newsFleet) nodes() []coreapi.Node {
	var out []coreapi.Node
	for _, router := range f.routers {
		out = append(out, coreapi.Node{Name: router.ctx.Name, Addr: router.ctx.Name, Zone: "east", Ready: true})
	}
	return out
}

// pass carries a message as the wire does.
func pass(from msgp.Marshaler, to msgp.Unmarshaler) error {
	raw, err := from.MarshalMsg(nil)
	if err == nil {
		_, err = to.UnmarshalMsg(raw)
	}
	return err
}

func (f *newsFleet) call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	for _, router := range f.routers {
		if router.ctx.Name != addr {
			continue
		}
		raw, err := in.MarshalMsg(nil)
		if err != nil {
			return err
		}
		answer, err := router.hand(ctx, kind, raw)
		if err != nil {
			return err
		}
		return pass(answer, out)
	}
	return errors.New("no such router")
}

func (f *newsFleet) core(_ context.Context, kind string, in msgp.Marshaler, out msgp.Unmarshaler, _ bool) error {
	if f.coreDown {
		return errors.New("no core")
	}
	if kind == "core.sessions.keep" {
		f.keeps++
		f.kept = in.(*coreapi.SessionDirectory).Batch
		return nil
	}
	return pass(&coreapi.SessionDirectory{Batch: f.kept}, out)
}

func (f *newsFleet) round() {
	for _, router := range f.routers {
		if !router.fetched.Load() {
			router.fetch()
		}
		router.tell()
		router.keep()
	}
}

func TestNewsReachesAllRouters(t *testing.T) {
	f := newNewsFleet(t, "a", "b", "c")
	f.round()
	f.routers[1].directory.Record(7, "runner")
	f.round()
	for _, router := range f.routers {
		if entry, known := router.directory.Lookup(7); !known || entry.Runners[0] != "runner" {
			t.Errorf("%s has %v", router.ctx.Name, entry)
		}
	}
	for range 10 {
		f.round()
	}
	if f.records != 1 {
		t.Errorf("%d records for one entry", f.records)
	}
}

// Only a directory that has changed is kept at the core, by one router, and not all the time.
func TestDirectoryIsKeptAtTheCore(t *testing.T) {
	f := newNewsFleet(t, "a", "b")
	f.round()
	for session := range uint64(20) {
		f.routers[1].directory.Record(session, "runner")
		f.round()
	}
	if f.keeps != 1 {
		t.Errorf("kept %d times within a moment", f.keeps)
	}
	f.routers[0].keptAt = time.Now().Add(-sessionKeepEvery)
	f.round()
	f.routers[0].keptAt = time.Now().Add(-sessionKeepEvery)
	f.round()
	if f.keeps != 2 {
		t.Errorf("kept %d times, 2 expected: the first change, and all others", f.keeps)
	}
}

// After the loss of all routers the core's copy is the start; without a core another router's is.
func TestRoutersThatStart(t *testing.T) {
	f := newNewsFleet(t, "a", "b")
	f.round()
	f.routers[1].directory.Record(7, "runner")
	f.round()
	f.round() // the first router, which had its turn before the news came, keeps it
	fresh := f.start("b")
	f.coreDown = true
	fresh.fetch()
	if _, known := fresh.directory.Lookup(7); !known || !fresh.fetched.Load() {
		t.Error("a router that starts does not know what the other one knows")
	}
	f.coreDown = false
	f.start("a")
	f.start("b")
	f.round()
	for _, router := range f.routers {
		if _, known := router.directory.Lookup(7); !known {
			t.Errorf("%s does not know what the core kept", router.ctx.Name)
		}
	}
}

// With neither a core nor a router that knows anything, requests wait for a moment only.
func TestRequestsDoNotWaitForLong(t *testing.T) {
	f := newNewsFleet(t, "a", "b")
	f.coreDown = true
	s := f.routers[0]
	if !s.awaited() {
		t.Error("requests do not wait for the directory")
	}
	for range 10 {
		s.fetch()
	}
	if s.fetched.Load() {
		t.Error("another router that has fetched nothing is taken for one that knows")
	}
	past := time.Now().Add(-sessionAwait)
	s.servable.Store(&past)
	if s.awaited() {
		t.Error("requests wait still")
	}
}

// A router that leaves hands over what it has not told yet, to all directly.
func TestRouterThatLeaves(t *testing.T) {
	f := newNewsFleet(t, "a", "b", "c")
	f.round()
	f.routers[0].leave(t.Context())
	if f.handed != 0 {
		t.Error("something was handed over though nothing was new")
	}
	f.routers[0].directory.Record(7, "runner")
	f.routers[0].leave(t.Context())
	if _, known := f.routers[2].directory.Lookup(7); !known {
		t.Error("the last news of a router that left is lost")
	}
}

func TestOtherRecordsArePassedOver(t *testing.T) {
	f := newNewsFleet(t, "a")
	body, _ := session.Pack([]session.Entry{{Session: 7, Version: 1, Runners: []string{"runner"}}}).MarshalMsg(nil)
	f.deliver([]dissemination.Record{{Key: "other/a", Version: 1, Body: body}, {Key: sessionHead + "x/1/1", Version: 1, Body: []byte("no batch")}})
	if f.routers[0].directory.Len() != 0 {
		t.Error("a record that is none of the session directory's was taken")
	}
}

// Slots of the board are used again; a router that starts anew uses others, since its turns begin anew.
func TestRecordsTakeTurns(t *testing.T) {
	f := newNewsFleet(t, "a")
	keys := map[string]bool{}
	for i := range 3 * sessionSlots {
		record, ok := f.routers[0].record([]session.Entry{{Session: 1, Version: 1, Runners: []string{"runner"}}})
		if !ok || record.Version != uint64(i+1) {
			t.Fatal(record, ok)
		}
		keys[record.Key] = true
	}
	old := len(keys)
	record, _ := f.start("a").record(nil)
	if keys[record.Key] || old != sessionSlots {
		t.Errorf("%d keys, and %s after a new start", old, record.Key)
	}
}

// A runner that is added is a signal to tell at once.
func TestAddedRunnerWakes(t *testing.T) {
	f := newNewsFleet(t, "a")
	s := f.routers[0]
	s.fetched.Store(true)
	s.balancer.Update([]routing.Runner{{ID: "r", Service: "s", State: routing.RunnerReady}})
	begun := time.Now()
	if !s.wait() || time.Since(begun) > sessionEvery {
		t.Error("the round came no sooner")
	}
}
