package core

import (
	"context"
	"time"

	"yarrowridge/internal/relay"
)

// push hands records to the first nodes of every zone and waits a quarter second at most, so
// that the news outlives us once we have answered.
func (s *Server) push(records ...relay.Record) { s.pushTo(2, records) }

// pushRunners is push for runners. A primary that has just begun has named no roll yet: routers that have
// none from before can't hand news on, so all are told.
func (s *Server) pushRunners(records ...relay.Record) {
	perZone := 2
	s.mu.Lock()
	if time.Since(s.readySince) <= nodeLeaseTerm+time.Second {
		perZone = len(s.nodes)
	}
	s.mu.Unlock()
	s.pushTo(perZone, records)
}

// pushTo hands records to so many nodes of every zone.
func (s *Server) pushTo(perZone int, records []relay.Record) {
	ctx, end := context.WithTimeout(s.ctx, 250*time.Millisecond)
	s.mu.Lock()
	all := s.liveNodes()
	s.mu.Unlock()
	tell := relay.News{Records: records}
	zones := map[string]int{}
	done := make(chan bool, len(all))
	sent := 0
	for _, n := range all {
		if zones[n.Zone]++; zones[n.Zone] > perZone {
			continue
		}
		sent++
		go func() {
			done <- s.caller.Call(ctx, n.Addr, "node.tell", &tell, nil) == nil
		}()
	}
	defer end()
	for range sent {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
