package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

const (
	sessionKeyPrefix    = "sessions/" // begins the key of a record with entries of the session directory
	sessionSlots        = 8           // keys that a router's records take in turn; by then the tree has carried the older one
	sessionSyncInterval = 300 * time.Millisecond
	sessionSyncJitter   = 200 * time.Millisecond // at random, so that of routers that find the same, one sends it
	runnerAddedJitter   = 30 * time.Millisecond  // the same for the round that an added runner starts at once
)

// sessionSync replicates the session directory: it broadcasts the entries that this router made, fetches another router's
// directory and the one at the core when this router starts, and persists the directory at the core.
type sessionSync struct {
	ctx            daemon.Context
	balancer       *balance.Balancer
	directory      *session.Directory
	broadcast      func(dissemination.Update)
	broadcastToAll func(context.Context, []dissemination.Record) bool // beside the dissemination tree
	nodes          func() []coreapi.Node
	call           func(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error
	callCore       func(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error

	fetched       atomic.Bool               // from the core, or from a router that has fetched it
	servableSince atomic.Pointer[time.Time] // when requests could be served first but for the directory; nil: not yet
	sequence      atomic.Uint64             // of the last record

	// Only the goroutine of run touches these.
	fetchAttempts    int       // at other routers
	persistedChanges uint64    // changes of the directory that the core has
	persistedAt      time.Time // when it was last sent to the core
}

func newSessionSync(g *Gateway) *sessionSync {
	return &sessionSync{ctx: g.ctx.WithComponent("session"), balancer: g.Balancer, directory: g.Balancer.Sessions, broadcast: g.Cluster.Broadcast,
		broadcastToAll: g.Cluster.BroadcastToAll, nodes: g.Cluster.Nodes, call: g.Cluster.Call, callCore: g.Cluster.Core.Call}
}

// run sends, fetches and persists until the context ends.
func (s *sessionSync) run() {
	for s.awaitNextRound() {
		if !s.fetched.Load() || s.fetchAttempts < maxFetchAttempts {
			s.fetch()
		}
		s.balancer.RefreshAffinity()
		s.sendUpdates()
		s.persist()
	}
}

// awaitNextRound waits for the next round and reports whether there is one: soon where nothing was fetched yet or a runner
// was added, since then other routers may send sessions away from their runners.
func (s *sessionSync) awaitNextRound() bool {
	if !s.fetched.Load() {
		return runloop.Sleep(s.ctx, fetchRetryInterval)
	}
	timer := time.NewTimer(sessionSyncInterval + rand.N(sessionSyncJitter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.balancer.RunnerAdded():
		return runloop.Sleep(s.ctx, rand.N(runnerAddedJitter))
	case <-s.ctx.Done():
		return false
	}
}

// sendUpdates broadcasts the entries that are new. Where there are none, nothing is sent.
func (s *sessionSync) sendUpdates() {
	entries := s.directory.DrainUpdates()
	if len(entries) == 0 {
		return
	}
	if record, ok := s.nextRecord(entries); ok {
		s.broadcast(dissemination.Update{Records: []dissemination.Record{record}})
	}
}

// handOver sends the last new entries to the other routers directly: the part of the dissemination tree that leads through
// this router must not be what others depend on once it is gone.
func (s *sessionSync) handOver(ctx context.Context) {
	entries := s.directory.DrainUpdates()
	if record, ok := s.nextRecord(entries); ok && len(entries) > 0 {
		s.broadcastToAll(ctx, []dissemination.Record{record})
	}
}

// nextRecord makes the next record. It replaces an older one, which the tree has carried to all routers by then.
func (s *sessionSync) nextRecord(entries []session.Entry) (dissemination.Record, bool) {
	body, err := session.Pack(entries).MarshalMsg(nil)
	if err != nil {
		s.ctx.Log.Error("Session entries could not be encoded.", "error", err.Error())
		return dissemination.Record{}, false
	}
	sequence := s.sequence.Add(1)
	key := fmt.Sprintf("%s%s/%x/%d", sessionKeyPrefix, s.ctx.Name, s.ctx.RunID, sequence%sessionSlots)
	return dissemination.Record{Key: key, Version: sequence, Body: body}, true
}

// applyRecord merges a record that dissemination brought. Records of other kinds are ignored.
func (s *sessionSync) applyRecord(record dissemination.Record) {
	if !strings.HasPrefix(record.Key, sessionKeyPrefix) {
		return
	}
	var batch session.Batch
	if _, err := batch.UnmarshalMsg(record.Body); err != nil {
		s.ctx.Log.Warn("Session entries could not be decoded.", "key", record.Key, "error", err.Error())
		return
	}
	s.directory.Merge(batch.Unpack())
}

// handle is the wire.Handler of other routers' calls about the session directory.
func (s *sessionSync) handle(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if kind != "session.fetch" {
		return nil, eris.Errorf("router: unknown kind of message %q", kind)
	}
	return wire.HandleTyped(body, func(request *session.FetchRequest) (*session.Batch, error) {
		batch := session.Pack(s.directory.MostRecentlyUsed(min(request.Limit, maxFetchedEntries)))
		batch.Partial = !s.fetched.Load()
		return batch, nil
	})
}
