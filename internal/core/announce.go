package core

import (
	"context"
	"strings"
	"time"

	"yarrowridge/internal/view"
)

// Where routers have been is kept on disk, so that a router which starts again with seeds that name
// machines long gone is found by the core, if it can't find the core itself.
const (
	placePrefix     = "place/"
	placeLifetime   = 24 * time.Hour // a router silent for so long is greeted no more
	announceTimeout = 500 * time.Millisecond
)

// rememberAddress notes a node's address, once for each address.
func (s *Server) rememberAddress(n Node) {
	key := placePrefix + n.Addr
	if _, ok := s.store.Load().Get(key); ok {
		return
	}
	s.submitLater(func(tx *Tx) error {
		if _, ok := tx.Get(key); ok {
			return nil
		}
		return tx.Put(key, &n)
	})
}

// rememberedRouters counts the routers whose address is on disk: those that beat within placeKeep.
func (s *Server) rememberedRouters() int {
	count := 0
	s.store.Load().Each(placePrefix, func(string, []byte) { count++ })
	return count
}

// announceView tells the view to each place from which nobody beats. Places silent for long are given up.
func (s *Server) announceView(here map[string]bool) {
	v := s.voter.View()
	var old []string
	now := map[string]bool{}
	s.store.Load().Each(placePrefix, func(k string, _ []byte) {
		addr := strings.TrimPrefix(k, placePrefix)
		if here[addr] {
			return
		}
		now[k] = true
		at, ok := s.silentSince[k]
		if !ok {
			at = time.Now()
			s.silentSince[k] = at
		}
		if time.Since(at) > placeLifetime {
			old = append(old, k)
			return
		}
		go func() {
			ctx, end := context.WithTimeout(s.ctx, announceTimeout)
			defer end()
			s.caller.Call(ctx, addr, "node.view", &view.LearnRequest{View: v}, nil)
		}()
	})
	for k := range s.silentSince {
		if !now[k] {
			delete(s.silentSince, k)
		}
	}
	s.dropLater(old)
}
