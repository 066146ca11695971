package core

import (
	"context"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// pushTimeout is how long a push waits for the nodes.
const pushTimeout = 250 * time.Millisecond

// push hands records to the first nodes of every zone and waits for pushTimeout at most, so
// that the news outlives us once we have answered.
func (s *Server) push(records ...dissemination.Record) { s.pushTo(2, records) }

// pushRunners is push for runners. A primary that has just begun has named no nodes yet: routers that have
// none from before can't hand news on, so all are told.
func (s *Server) pushRunners(records ...dissemination.Record) {
	perZone := 2
	s.mu.Lock()
	if time.Since(s.readySince) <= nodeLeaseTerm+time.Second {
		perZone = len(s.nodes)
	}
	s.mu.Unlock()
	s.pushTo(perZone, records)
}

// pushTo hands records to so many nodes of every zone.
func (s *Server) pushTo(perZone int, records []dissemination.Record) {
	ctx, cancel := context.WithTimeout(s.ctx, pushTimeout)
	defer cancel()
	s.mu.Lock()
	nodes := s.liveNodes()
	s.mu.Unlock()
	news := dissemination.Update{Records: records}
	inZone := map[string]int{}
	done := make(chan bool, len(nodes))
	sent := 0
	for _, n := range nodes {
		if inZone[n.Zone]++; inZone[n.Zone] > perZone {
			continue
		}
		sent++
		go func() {
			done <- s.caller.Call(ctx, n.Addr, "node.tell", &news, nil) == nil
		}()
	}
	for range sent {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
