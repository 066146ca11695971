package router

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/session"
)

const (
	sessionCallTimeout = time.Second
	maxFetchedEntries  = 1 << 13                // asked of another router
	maxFetchAttempts   = 5                      // routers asked until one has answered
	fetchRetryInterval = 20 * time.Millisecond  // while nothing was fetched
	maxFetchDelay      = 150 * time.Millisecond // for which requests wait for the directory

	persistInterval     = 3 * time.Second
	maxPersistedEntries = 1 << 12
)

// isAwaited reports whether requests should wait for the directory: for 150 ms from when they could be served.
func (s *sessionSync) isAwaited() bool {
	if s.fetched.Load() {
		return false
	}
	now := time.Now()
	s.servableSince.CompareAndSwap(nil, &now)
	return time.Since(*s.servableSince.Load()) < maxFetchDelay
}

// fetch asks the core for what was persisted, which is all that there is after the loss of all routers, and another router
// for its directory, which is newer. One answer is enough to begin with.
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

// fetchFromRouter reports whether a router has answered that has fetched the directory itself.
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

// choosePeer chooses another ready router at random, one of this router's zone where there is any.
func (s *sessionSync) choosePeer(nodes []coreapi.Node) (best coreapi.Node, found bool) {
	for _, i := range rand.Perm(len(nodes)) {
		node := nodes[i]
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

// fetchFromCore reports whether the core has answered.
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

// persist stores the directory at the core if it has changed, every three seconds at most. The first router of the peer
// directory does it for all.
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
