package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// How routers tell each other where sessions are held.
const (
	sessionHead      = "sessions/" // begins the key of a record with entries of the session directory
	sessionSlots     = 8           // records that a router has on the board at once
	sessionEvery     = 300 * time.Millisecond
	sessionSpread    = 200 * time.Millisecond // added at random: of routers that find the same, one tells it
	sessionAdded     = 30 * time.Millisecond  // at most so much later news goes out after a runner was added
	sessionFetchMost = 1 << 13                // entries that a router that starts asks another one for
	sessionFetchTime = time.Second
	sessionFetchWait = 20 * time.Millisecond  // between tries of a router that has not fetched yet
	sessionAsks      = 5                      // routers that are asked until one has answered
	sessionAwait     = 150 * time.Millisecond // how long requests wait for it at most
	sessionKeepEvery = 3 * time.Second
	sessionKeepMost  = 1 << 12 // entries that are kept at the core
)

// sessionNews carries entries of the session directory between routers: those that this router made go into a
// record of the relay tree, and a router that starts fetches what another one has.
type sessionNews struct {
	ctx       daemon.Context
	balancer  *balance.Balancer
	directory *session.Directory
	spread    func(dissemination.Update)
	sure      func(context.Context, []dissemination.Record) bool // hands records to all routers directly
	nodes     func() []coreapi.Node
	call      func(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error
	core      func(ctx context.Context, kind string, in msgp.Marshaler, out msgp.Unmarshaler, again bool) error

	turn    uint64 // of the last record
	asked   int    // routers, for what they know
	fetched atomic.Bool
	// servable is when requests could be served first but for the directory; nil: not yet.
	servable atomic.Pointer[time.Time]

	kept   uint64    // changes of the directory that the core has
	keptAt time.Time // when it was last told
}

func newSessionNews(g *Gateway) *sessionNews {
	return &sessionNews{ctx: g.ctx.WithComponent("session"), balancer: g.Balancer, directory: g.Balancer.Sessions, spread: g.Cluster.Broadcast,
		sure: g.Cluster.BroadcastToAll, nodes: g.Cluster.Nodes, call: g.Cluster.Call, core: g.Cluster.Core.Call}
}

// see takes a record that the relays brought. Others are passed over.
func (s *sessionNews) see(record dissemination.Record) {
	if !strings.HasPrefix(record.Key, sessionHead) {
		return
	}
	var batch session.Batch
	if _, err := batch.UnmarshalMsg(record.Body); err != nil {
		s.ctx.Log.Warn("A record of sessions is not understood.", "key", record.Key, "error", err.Error())
		return
	}
	s.directory.Merge(batch.Unpack())
}

// hand answers the calls of other routers.
func (s *sessionNews) hand(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if kind != "session.fetch" {
		return nil, fmt.Errorf("router: no call %q", kind)
	}
	return wire.HandleTyped(body, func(in *session.FetchRequest) (*session.Batch, error) {
		batch := session.Pack(s.directory.Newest(min(in.Limit, sessionFetchMost)))
		batch.Partial = !s.fetched.Load()
		return batch, nil
	})
}

// run tells and fetches until the context ends.
func (s *sessionNews) run() {
	for s.wait() {
		if !s.fetched.Load() || s.asked < sessionAsks {
			s.fetch()
		}
		s.balancer.Rehome()
		s.tell()
		s.keep()
	}
}

// wait waits for the next round: soon where nothing was fetched yet or a runner was added, since then other
// routers may send sessions away from their runners.
func (s *sessionNews) wait() bool {
	if !s.fetched.Load() {
		return runloop.Sleep(s.ctx, sessionFetchWait)
	}
	timer := time.NewTimer(sessionEvery + rand.N(sessionSpread))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.balancer.Added():
		return runloop.Sleep(s.ctx, rand.N(sessionAdded))
	case <-s.ctx.Done():
		return false
	}
}

// tell hands what is new to the other routers. Nothing is sent where nothing is.
func (s *sessionNews) tell() {
	entries := s.directory.DrainUpdates()
	if len(entries) == 0 {
		return
	}
	if record, ok := s.record(entries); ok {
		s.spread(dissemination.Update{Records: []dissemination.Record{record}})
	}
}

// leave hands the last news to the other routers directly: the part of the tree that leads through this one
// must not be what others depend on.
func (s *sessionNews) leave(ctx context.Context) {
	entries := s.directory.DrainUpdates()
	if record, ok := s.record(entries); ok && len(entries) > 0 {
		s.sure(ctx, []dissemination.Record{record})
	}
}

// record makes the next record of the board. It takes the place of an older one, which the tree has carried to
// all by then.
func (s *sessionNews) record(entries []session.Entry) (dissemination.Record, bool) {
	body, err := session.Pack(entries).MarshalMsg(nil)
	if err != nil {
		s.ctx.Log.Error("Entries of sessions cannot be written.", "error", err.Error())
		return dissemination.Record{}, false
	}
	s.turn++
	key := fmt.Sprintf("%s%s/%x/%d", sessionHead, s.ctx.Name, s.ctx.RunID, s.turn%sessionSlots)
	return dissemination.Record{Key: key, Version: s.turn, Body: body}, true
}

// fetch asks the core for what it kept, which is all that there is after the loss of all routers, and another
// router for what it knows, which is newer. One answer will do to begin with.
func (s *sessionNews) fetch() {
	ctx, cancel := context.WithTimeout(s.ctx, sessionFetchTime)
	defer cancel()
	if !s.fetched.Load() && s.fetchFromCore(ctx) {
		s.fetched.Store(true)
		s.ctx.Log.Info("The session directory was fetched.", "sessions", s.directory.Len())
	}
	nodes := s.nodes()
	if len(nodes) == 0 {
		return
	}
	s.asked++
	if s.fetchFromRouter(ctx, nodes) {
		s.asked = sessionAsks
		s.fetched.Store(true)
	}
}

// awaited reports whether requests should wait for the directory: for a moment from when they could be served.
func (s *sessionNews) awaited() bool {
	if s.fetched.Load() {
		return false
	}
	now := time.Now()
	s.servable.CompareAndSwap(nil, &now)
	return time.Since(*s.servable.Load()) < sessionAwait
}

// fetchFromRouter reports whether a router has answered that has fetched the directory itself.
func (s *sessionNews) fetchFromRouter(ctx context.Context, nodes []coreapi.Node) bool {
	node, found := s.neighbour(nodes)
	if !found {
		return false
	}
	var batch session.Batch
	if err := s.call(ctx, node.Addr, "session.fetch", &session.FetchRequest{Limit: sessionFetchMost}, &batch); err != nil {
		s.ctx.Log.Debug("The session directory was not fetched.", "peer", node.Name, "error", err.Error())
		return false
	}
	s.directory.Merge(batch.Unpack())
	return !batch.Partial
}

// fetchFromCore reports whether the core has answered.
func (s *sessionNews) fetchFromCore(ctx context.Context) bool {
	var kept coreapi.SessionDirectory
	if err := s.core(ctx, "core.sessions", &coreapi.ConfigRequest{}, &kept, true); err != nil {
		s.ctx.Log.Debug("The core does not give the session directory.", "error", err.Error())
		return false
	}
	var batch session.Batch
	if len(kept.Batch) > 0 {
		if _, err := batch.UnmarshalMsg(kept.Batch); err != nil {
			s.ctx.Log.Warn("The session directory at the core is not understood.", "error", err.Error())
		}
	}
	s.directory.Merge(batch.Unpack())
	return true
}

// keep has the core keep the directory, now and then where it has changed. The first router of the list does
// it for all.
func (s *sessionNews) keep() {
	nodes := s.nodes()
	changes := s.directory.Changes()
	if len(nodes) == 0 || nodes[0].Name != s.ctx.Name || !s.fetched.Load() || changes == s.kept || time.Since(s.keptAt) < sessionKeepEvery {
		return
	}
	s.keptAt = time.Now()
	body, err := session.Pack(s.directory.Newest(sessionKeepMost)).MarshalMsg(nil)
	if err != nil {
		s.ctx.Log.Error("The session directory cannot be written.", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, sessionFetchTime)
	defer cancel()
	if err := s.core(ctx, "core.sessions.keep", &coreapi.SessionDirectory{Batch: body}, &coreapi.Empty{}, true); err != nil {
		s.ctx.Log.Debug("The core does not keep the session directory.", "error", err.Error())
		return
	}
	s.kept = changes
}

// neighbour picks another router at random, one of the own zone where there is any.
func (s *sessionNews) neighbour(nodes []coreapi.Node) (best coreapi.Node, found bool) {
	for _, at := range rand.Perm(len(nodes)) {
		node := nodes[at]
		if node.Name == s.ctx.Name || !node.Ready {
			continue
		}
		if node.Zone == s.ctx.Zone {
			return node, true
		}
		best, found = node, true
	}
	return best, found
}
