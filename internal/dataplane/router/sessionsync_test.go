package router

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
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

// syncFleet connects the session syncs of several routers without a network, and simulates a core that persists the
// directory.
type syncFleet struct {
	*testing.T
	routers   []*sessionSync
	broadcast int    // number of records sent over the dissemination tree
	direct    int    // number of records sent directly
	persists  int    // number of calls to the core to persist the directory
	persisted []byte // the directory at the core
	coreDown  bool   // calls to the core fail
}

func newSyncFleet(t *testing.T, names ...string) *syncFleet {
	t.Helper()
	f := &syncFleet{T: t}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts a router. It replaces a router with the same name.
func (f *syncFleet) start(name string) *sessionSync {
	ctx := daemon.Context{Context: f.Context(), Name: name, Zone: "east", RunID: uint64(len(f.routers) + 1), Log: slog.New(slog.DiscardHandler)}
	balancer := balance.New("east")
	s := &sessionSync{ctx: ctx, balancer: balancer, directory: balancer.Sessions, nodes: f.nodes, call: f.call, callCore: f.callCore}
	s.broadcast = func(update dissemination.Update) {
		f.broadcast += len(update.Records)
		f.deliver(update.Records)
	}
	s.broadcastToAll = func(_ context.Context, records []dissemination.Record) bool {
		f.direct += len(records)
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

// deliver delivers records to all routers.
func (f *syncFleet) deliver(records []dissemination.Record) {
	for _, router := range f.routers {
		for _, record := range records {
			router.applyRecord(record)
		}
	}
}

func (f *syncFleet) nodes() []coreapi.Node {
	var out []coreapi.Node
	for _, router := range f.routers {
		out = append(out, coreapi.Node{Name: router.ctx.Name, Addr: router.ctx.Name, Zone: "east", Ready: true})
	}
	return out
}

// transcode encodes a message and decodes it into another one, as a call over the network does.
func transcode(from msgp.Marshaler, to msgp.Unmarshaler) error {
	raw, err := from.MarshalMsg(nil)
	if err == nil {
		_, err = to.UnmarshalMsg(raw)
	}
	return err
}

// call is a call from a router to another one.
func (f *syncFleet) call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	for _, router := range f.routers {
		if router.ctx.Name != addr {
			continue
		}
		raw, err := request.MarshalMsg(nil)
		if err != nil {
			return err
		}
		result, err := router.handle(ctx, kind, raw)
		if err != nil {
			return err
		}
		return transcode(result, response)
	}
	return errors.New("no such router")
}

// callCore is a call from a router to the core.
func (f *syncFleet) callCore(_ context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, _ bool) error {
	if f.coreDown {
		return errors.New("no core")
	}
	if kind == "core.sessions.keep" {
		f.persists++
		f.persisted = request.(*coreapi.SessionDirectory).Batch
		return nil
	}
	return transcode(&coreapi.SessionDirectory{Batch: f.persisted}, response)
}

// round runs one round of each router in turn.
func (f *syncFleet) round() {
	for _, router := range f.routers {
		if !router.fetched.Load() {
			router.fetch()
		}
		router.sendUpdates()
		router.persist()
	}
}

func TestUpdatesReachAllRouters(t *testing.T) {
	f := newSyncFleet(t, "a", "b", "c")
	f.round()
	f.routers[1].directory.Record(7, "runner")
	f.round()
	for _, router := range f.routers {
		if entry, known := router.directory.Lookup(7); !known || entry.Runners[0] != "runner" {
			t.Errorf("router %s: got entry %v, want one with the runner", router.ctx.Name, entry)
		}
	}
	for range 10 {
		f.round()
	}
	if f.broadcast != 1 {
		t.Errorf("got %d records for one entry, want 1", f.broadcast)
	}
}

// The directory is persisted at the core only if it has changed, by a single router, and at most once per persistInterval.
func TestDirectoryIsPersistedAtCore(t *testing.T) {
	f := newSyncFleet(t, "a", "b")
	f.round()
	for session := range uint64(20) {
		f.routers[1].directory.Record(session, "runner")
		f.round()
	}
	if f.persists != 1 {
		t.Errorf("got %d calls within the interval, want 1", f.persists)
	}
	f.routers[0].persistedAt = time.Now().Add(-persistInterval)
	f.round()
	f.routers[0].persistedAt = time.Now().Add(-persistInterval)
	f.round()
	if f.persists != 2 {
		t.Errorf("got %d calls, want 2: one for the first change, and one for all others", f.persists)
	}
}

// A starting router fetches the directory from another router if the core is unreachable, and from the core if all routers
// were lost.
func TestStartingRouterFetches(t *testing.T) {
	f := newSyncFleet(t, "a", "b")
	f.round()
	f.routers[1].directory.Record(7, "runner")
	f.round()
	f.round() // the first router, whose round was before the update, persists it now
	starting := f.start("b")
	f.coreDown = true
	starting.fetch()
	if _, known := starting.directory.Lookup(7); !known || !starting.fetched.Load() {
		t.Errorf("without a core: got entry %t, fetched %t, want the other router's entry", known, starting.fetched.Load())
	}
	f.coreDown = false
	f.start("a")
	f.start("b")
	f.round()
	for _, router := range f.routers {
		if _, known := router.directory.Lookup(7); !known {
			t.Errorf("router %s: got no entry, want the one persisted at the core", router.ctx.Name)
		}
	}
}

// If neither the core nor a router with the directory can be reached, requests wait for at most maxFetchDelay.
func TestRequestsWaitBriefly(t *testing.T) {
	f := newSyncFleet(t, "a", "b")
	f.coreDown = true
	s := f.routers[0]
	if !s.isAwaited() {
		t.Error("got requests that do not wait, want them to wait for the directory at first")
	}
	for range 10 {
		s.fetch()
	}
	if s.fetched.Load() {
		t.Error("got a fetched directory, want none from a router that has fetched nothing itself")
	}
	past := time.Now().Add(-maxFetchDelay)
	s.servableSince.Store(&past)
	if s.isAwaited() {
		t.Errorf("got requests that still wait, want none after %s", maxFetchDelay)
	}
}

// A router that shuts down sends the entries that it has not broadcast yet directly to all other routers.
func TestHandOver(t *testing.T) {
	f := newSyncFleet(t, "a", "b", "c")
	f.round()
	f.routers[0].handOver(t.Context())
	if f.direct != 0 {
		t.Errorf("got %d records without new entries, want none", f.direct)
	}
	f.routers[0].directory.Record(7, "runner")
	f.routers[0].handOver(t.Context())
	if _, known := f.routers[2].directory.Lookup(7); !known {
		t.Error("got no entry from the router that shuts down, want its last one")
	}
}

func TestOtherRecordsAreIgnored(t *testing.T) {
	f := newSyncFleet(t, "a")
	body, err := session.Pack([]session.Entry{{Session: 7, Version: 1, Runners: []string{"runner"}}}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	f.deliver([]dissemination.Record{{Key: "other/a", Version: 1, Body: body}, {Key: sessionKeyPrefix + "x/1/1", Version: 1, Body: []byte("no batch")}})
	if got := f.routers[0].directory.Len(); got != 0 {
		t.Errorf("got %d entries from records that hold no session entries, want none", got)
	}
}

// A router reuses the keys of its records. After a restart it uses other keys, because its versions start from 1 again and
// would be older than those of the previous run.
func TestRecordKeysAreReused(t *testing.T) {
	f := newSyncFleet(t, "a")
	keys := map[string]bool{}
	for i := range 3 * sessionSlots {
		record, ok := f.routers[0].nextRecord([]session.Entry{{Session: 1, Version: 1, Runners: []string{"runner"}}})
		if !ok || record.Version != uint64(i+1) {
			t.Fatalf("got record %v, %t, want version %d", record, ok, i+1)
		}
		keys[record.Key] = true
	}
	if len(keys) != sessionSlots {
		t.Errorf("got %d keys, want %d", len(keys), sessionSlots)
	}
	if record, _ := f.start("a").nextRecord(nil); keys[record.Key] {
		t.Errorf("got key %s after a restart, want one not used before", record.Key)
	}
}

// The hand-over at shutdown runs concurrently with the rounds. No two records may get the same version.
func TestRecordsHaveDistinctVersions(t *testing.T) {
	const count = 200
	s := newSyncFleet(t, "a").routers[0]
	versions := make([]uint64, 2*count)
	var group sync.WaitGroup
	for half := range 2 {
		group.Go(func() {
			for i := range count {
				record, _ := s.nextRecord(nil)
				versions[half*count+i] = record.Version
			}
		})
	}
	group.Wait()
	slices.Sort(versions)
	if got := len(slices.Compact(versions)); got != 2*count {
		t.Errorf("got %d versions of %d records, want one each", got, 2*count)
	}
}

// Adding a runner starts a round without waiting for the interval.
func TestAddedRunnerStartsRound(t *testing.T) {
	f := newSyncFleet(t, "a")
	s := f.routers[0]
	s.fetched.Store(true)
	s.balancer.Update([]routing.Runner{{ID: "r", Service: "s", State: routing.RunnerReady}})
	startedAt := time.Now()
	if !s.awaitNextRound() || time.Since(startedAt) > sessionSyncInterval {
		t.Errorf("got the next round after %s, want it before the interval has passed", time.Since(startedAt))
	}
}
