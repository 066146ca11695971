package core

import (
	"context"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
)

// Where routers have been is kept on disk, so that a router which starts again with seeds that name
// machines long gone is found by the core, if it can't find the core itself.
const (
	placePrefix     = "place/"
	placeLifetime   = 24 * time.Hour // a router silent for so long is forgotten
	announceTimeout = 500 * time.Millisecond
)

// rememberAddress notes a node's address, once for each address.
func (s *Server) rememberAddress(n coreapi.Node) {
	key := placePrefix + n.Addr
	if _, ok := s.store.Load().Get(key); ok {
		return
	}
	s.submitLater(func(tx *transaction.Tx) error {
		if _, ok := tx.Get(key); ok {
			return nil
		}
		return tx.Put(key, &n)
	})
}

// rememberedRouters counts the routers whose address is on disk: those heard within placeLifetime.
func (s *Server) rememberedRouters() int {
	count := 0
	s.store.Load().ForEachWithPrefix(placePrefix, func(string, []byte) { count++ })
	return count
}

// announceView tells the view to each place that sends no heartbeats; live has the addresses of those that do. Places
// silent for long are forgotten.
func (s *Server) announceView(live map[string]bool) {
	v := s.acceptor.View()
	silent := map[string]bool{}
	var expired []string
	s.store.Load().ForEachWithPrefix(placePrefix, func(key string, _ []byte) {
		addr := strings.TrimPrefix(key, placePrefix)
		if live[addr] {
			return
		}
		silent[key] = true
		since, ok := s.silentSince[key]
		if !ok {
			since = time.Now()
			s.silentSince[key] = since
		}
		if time.Since(since) > placeLifetime {
			expired = append(expired, key)
			return
		}
		go s.announceTo(addr, v)
	})
	for key := range s.silentSince {
		if !silent[key] {
			delete(s.silentSince, key)
		}
	}
	s.deleteLater(expired)
}

// announceTo tells the view to one place.
func (s *Server) announceTo(addr string, v view.View) {
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	s.caller.Call(ctx, addr, "node.view", &view.LearnRequest{View: v}, nil)
}
