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
	placeHead = "place/"
	placeKeep = 24 * time.Hour // a router silent for so long is greeted no more
	greetWait = 500 * time.Millisecond
)

// remember notes a node's address, once for each address.
func (s *Server) remember(n Node) {
	key := placeHead + n.Addr
	if _, ok := s.st.Load().Get(key); ok {
		return
	}
	s.later(func(tx *Tx) error {
		if _, ok := tx.Get(key); ok {
			return nil
		}
		return tx.Put(key, &n)
	})
}

// rememberedRouters counts the routers whose address is on disk: those that beat within placeKeep.
func (s *Server) rememberedRouters() int {
	count := 0
	s.st.Load().Each(placeHead, func(string, []byte) { count++ })
	return count
}

// greet tells the view to each place from which nobody beats. Places silent for long are given up.
func (s *Server) greet(here map[string]bool) {
	v := s.vot.View()
	var old []string
	now := map[string]bool{}
	s.st.Load().Each(placeHead, func(k string, _ []byte) {
		addr := strings.TrimPrefix(k, placeHead)
		if here[addr] {
			return
		}
		now[k] = true
		at, ok := s.mute[k]
		if !ok {
			at = time.Now()
			s.mute[k] = at
		}
		if time.Since(at) > placeKeep {
			old = append(old, k)
			return
		}
		go func() {
			ctx, end := context.WithTimeout(s.ctx, greetWait)
			defer end()
			s.cal.Call(ctx, addr, "node.view", &view.LearnRequest{View: v}, nil)
		}()
	})
	for k := range s.mute {
		if !now[k] {
			delete(s.mute, k)
		}
	}
	s.dropLater(old)
}
