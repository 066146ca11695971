package router

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/session"
)

const (
	sessionCallTimeout = time.Second            // of one round of fetching, and of a call to persist the directory
	maxFetchedEntries  = 1 << 13                // requested from another router
	maxFetchAttempts   = 5                      // at other routers; more only while nothing has been fetched
	fetchRetryInterval = 20 * time.Millisecond  // while nothing has been fetched
	maxFetchDelay      = 150 * time.Millisecond // for which requests wait for the directory at most

	persistInterval     = 3 * time.Second // minimum between two writes of the directory to the core
	maxPersistedEntries = 1 << 12
)

// isAwaited reports whether requests should wait for the directory. They wait for at most maxFetchDelay, counted from the
// first call, when nothing else prevents this router from serving them.
func (s *sessionSync) isAwaited() bool {
	if s.fetched.Load() {
		return false
	}
	now := time.Now()
	s.servableSince.CompareAndSwap(nil, &now)
	return time.Since(*s.servableSince.Load()) < maxFetchDelay
}

// fetch fetches the persisted directory from the core, which is the only copy after the loss of all routers, and the
// directory of another router, which is newer. Requests can be served as soon as one of the two has answered.
func (s *sessionSync) fetch() {
	ctx, cancel := context.WithTimeout(s.ctx, sessionCallTimeout)
	defer cancel()
	if !s.fetched.Load() && s.fetchFromCore(ctx) {
		s.fetched.Store(true)
		s.ctx.Log.Info("Session directory fetched.", "sessions", s.directory.Len())
	}
	nodes := s.nodes()
	if len(nodes) == 0 {
		return
	}
	s.fetchAttempts++
	if s.fetchFromRouter(ctx, nodes) {
		s.fetchAttempts = maxFetchAttempts
		s.fetched.Store(true)
	}
}

// fetchFromRouter merges the directory of another router, and reports whether it was complete: a router that has not fetched
// the directory itself returns a partial one.
func (s *sessionSync) fetchFromRouter(ctx context.Context, nodes []coreapi.Node) bool {
	node, found := s.choosePeer(nodes)
	if !found {
		return false
	}
	var batch session.Batch
	if err := s.call(ctx, node.Addr, "session.fetch", &session.FetchRequest{Limit: maxFetchedEntries}, &batch); err != nil {
		s.ctx.Log.Debug("Session directory not fetched.", "peer", node.Name, "error", err.Error())
		return false
	}
	s.directory.Merge(batch.Unpack())
	return !batch.Partial
}

// choosePeer chooses another ready router at random, in this router's zone if there is one.
func (s *sessionSync) choosePeer(nodes []coreapi.Node) (peer coreapi.Node, found bool) {
	for _, i := range rand.Perm(len(nodes)) {
		node := nodes[i]
		if node.Name == s.ctx.Name || !node.Ready {
			continue
		}
		if node.Zone == s.ctx.Zone {
			return node, true
		}
		peer, found = node, true
	}
	return peer, found
}

// fetchFromCore merges the directory that is persisted at the core, and reports whether the core has answered.
func (s *sessionSync) fetchFromCore(ctx context.Context) bool {
	var persisted coreapi.SessionDirectory
	if err := s.callCore(ctx, "core.sessions", &coreapi.ConfigRequest{}, &persisted, true); err != nil {
		s.ctx.Log.Debug("Session directory not fetched from the core.", "error", err.Error())
		return false
	}
	var batch session.Batch
	if len(persisted.Batch) > 0 {
		if _, err := batch.UnmarshalMsg(persisted.Batch); err != nil {
			s.ctx.Log.Warn("Session directory at the core could not be decoded.", "error", err.Error())
		}
	}
	s.directory.Merge(batch.Unpack())
	return true
}

// persist writes the directory to the core if it has changed, at most once per persistInterval. Only the first router in the
// list of routers does so.
func (s *sessionSync) persist() {
	nodes := s.nodes()
	changes := s.directory.Changes()
	if len(nodes) == 0 || nodes[0].Name != s.ctx.Name || !s.fetched.Load() || changes == s.persistedChanges || time.Since(s.persistedAt) < persistInterval {
		return
	}
	s.persistedAt = time.Now()
	body, err := session.Pack(s.directory.MostRecentlyUsed(maxPersistedEntries)).MarshalMsg(nil)
	if err != nil {
		s.ctx.Log.Error("Session directory could not be encoded.", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, sessionCallTimeout)
	defer cancel()
	if err := s.callCore(ctx, "core.sessions.keep", &coreapi.SessionDirectory{Batch: body}, &coreapi.Empty{}, true); err != nil {
		s.ctx.Log.Debug("Session directory not persisted at the core.", "error", err.Error())
		return
	}
	s.persistedChanges = changes
}
