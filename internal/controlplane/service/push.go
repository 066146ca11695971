package service

import (
	"time"

	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/transport/dissemination"
)

// routersPerZone is the number of routers in each zone that an update is pushed to. They forward it to the others.
const routersPerZone = 2

// push sends records to the first routers of every zone and waits for them, for at most routerleases.PushTimeout, so that the
// records survive a crash of this process once it has responded.
func (s *Service) push(records ...dissemination.Record) { s.pushTo(routersPerZone, records) }

// pushRunners is like push, for records of runners. A primary that has just started has not sent out a list of routers yet.
// Routers without a list from the previous primary cannot forward records, so the records are sent to all routers.
func (s *Service) pushRunners(records ...dissemination.Record) {
	perZone := routersPerZone
	s.mu.Lock()
	if !s.routers.HavePeerLists(time.Now()) {
		perZone = s.routers.Len()
	}
	s.mu.Unlock()
	s.pushTo(perZone, records)
}

// pushTo sends records to the first perZone routers of every zone.
func (s *Service) pushTo(perZone int, records []dissemination.Record) {
	s.mu.Lock()
	routers := s.routers.List()
	s.mu.Unlock()
	routerleases.Push(s.ctx, s.caller, routers, perZone, records)
}
