package node

import (
	"sort"
)

// HeldStream is one stream as an operator may read it.
type HeldStream struct {
	RequestID  string `json:"query"`
	Tenant     string `json:"tenant"`
	Router     string `json:"router"` // that carries it
	Own        bool   `json:"mine"`   // we do, else we are its standby
	Repeatable bool   `json:"repeatable"`
	Turn       int    `json:"turn"` // standbys it has had
	Pieces     int    `json:"pieces"`
	Ended      bool   `json:"ended"`
	Lost       string `json:"lost,omitempty"`
}

// List tells all streams held here, carried or as standby.
func (s *Streams) List() []HeldStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []HeldStream{}
	for _, stream := range s.byID {
		stream.mu.Lock()
		held := HeldStream{stream.ID, stream.Tenant, stream.ownerName, stream.ownerName == "", stream.request != nil, stream.turn, len(stream.pieces), stream.ended, stream.lost}
		stream.mu.Unlock()
		if held.Own {
			held.Router = s.ctx.Name
		}
		out = append(out, held)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].RequestID < out[j].RequestID })
	return out
}
