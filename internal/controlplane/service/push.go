package service

import (
	"time"

	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/transport/dissemination"
)

// routersPerZone is how many routers of every zone are handed an update. They pass it on to the others.
const routersPerZone = 2

// push hands records to the first routers of every zone and waits for routerleases.PushTimeout at most, so that the records
// outlive this process once it has responded.
func (s *Service) push(records ...dissemination.Record) { s.pushTo(routersPerZone, records) }

// pushRunners is push for runners. A primary that has just started has named no routers yet: those that have no list from
// before cannot pass records on, so all are handed them.
func (s *Service) pushRunners(records ...dissemination.Record) {
	perZone := routersPerZone
	s.mu.Lock()
	if !s.routers.HavePeerLists(time.Now()) {
		perZone = s.routers.Len()
	}
	s.mu.Unlock()
	s.pushTo(perZone, records)
}

// pushTo hands records to the first perZone routers of every zone.
func (s *Service) pushTo(perZone int, records []dissemination.Record) {
	s.mu.Lock()
	routers := s.routers.List()
	s.mu.Unlock()
	routerleases.Push(s.ctx, s.caller, routers, perZone, records)
}
