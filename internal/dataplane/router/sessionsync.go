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
	sessionKeyPrefix    = "sessions/" // of the keys of records with session entries
	sessionSlots        = 8           // keys that a router's records take in turn; a key is reused once its older record has been disseminated
	sessionSyncInterval = 300 * time.Millisecond
	sessionSyncJitter   = 200 * time.Millisecond // random, so that of several routers with the same new entry only the first broadcasts it
	runnerAddedJitter   = 30 * time.Millisecond  // the same for the round that starts when a runner is added
)

// sessionSync replicates the session directory. It broadcasts this router's new entries, fetches the directory from the core
// and another router when this router starts, and persists it at the core.
type sessionSync struct {
	ctx            daemon.Context
	balancer       *balance.Balancer
	directory      *session.Directory
	broadcast      func(dissemination.Update)
	broadcastToAll func(context.Context, []dissemination.Record) bool // sends directly, without the dissemination tree
	nodes          func() []coreapi.Node
	call           func(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error
	callCore       func(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error

	fetched       atomic.Bool               // the directory was fetched, from the core or from a router that had fetched it
	servableSince atomic.Pointer[time.Time] // when the directory became the only thing that requests wait for; nil: not yet
	sequence      atomic.Uint64             // version of the last record

	// Used only by the goroutine of run.
	fetchAttempts    int       // at other routers
	persistedChanges uint64    // count of directory changes at the last write to the core
	persistedAt      time.Time // when the directory was last sent to the core
}

func newSessionSync(g *Gateway) *sessionSync {
	return &sessionSync{ctx: g.ctx.WithComponent("session"), balancer: g.Balancer, directory: g.Balancer.Sessions, broadcast: g.Cluster.Broadcast,
		broadcastToAll: g.Cluster.BroadcastToAll, nodes: g.Cluster.Nodes, call: g.Cluster.Call, callCore: g.Cluster.Core.Call}
}

// run runs a round of replication at a time until the context ends.
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

// awaitNextRound waits until the next round is due, and returns false when the context has ended. The wait is short while
// nothing has been fetched, and after a runner was added: until they get the entries, other routers may send sessions away
// from their runners.
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

// sendUpdates broadcasts the new entries, if there are any.
func (s *sessionSync) sendUpdates() {
	entries := s.directory.DrainUpdates()
	if len(entries) == 0 {
		return
	}
	if record, ok := s.nextRecord(entries); ok {
		s.broadcast(dissemination.Update{Records: []dissemination.Record{record}})
	}
}

// handOver sends the last new entries directly to all other routers. Over the dissemination tree they could be lost, because
// routers below this one would depend on it while it shuts down.
func (s *sessionSync) handOver(ctx context.Context) {
	entries := s.directory.DrainUpdates()
	if record, ok := s.nextRecord(entries); ok && len(entries) > 0 {
		s.broadcastToAll(ctx, []dissemination.Record{record})
	}
}

// nextRecord returns the next record. It replaces the record sessionSlots before it, which has reached all routers by then.
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

// applyRecord merges the session entries of a disseminated record. Other records are ignored.
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

// handle is the wire.Handler for other routers' calls that fetch the session directory.
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
