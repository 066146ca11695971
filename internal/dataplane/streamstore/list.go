package streamstore

import (
	"sort"
)

// HeldStream is one stream as an operator may read it.
type Info struct {
	RequestID  string `json:"query"`
	Tenant     string `json:"tenant"`
	Router     string `json:"router"` // that carries it
	Own        bool   `json:"mine"`   // we do, else we are its standby
	Idempotent bool   `json:"repeatable"`
	Term       int    `json:"turn"` // standbys it has had
	Chunks     int    `json:"pieces"`
	Ended      bool   `json:"ended"`
	Failure    string `json:"lost,omitempty"`
}

// List tells all streams held here, carried or as standby.
func (s *Store) List() []Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Info{}
	for _, stream := range s.byID {
		stream.mu.Lock()
		held := Info{stream.ID, stream.Tenant, stream.ownerName, stream.ownerName == "", stream.request != nil, stream.term, len(stream.chunks), stream.ended, stream.failure}
		stream.mu.Unlock()
		if held.Own {
			held.Router = s.ctx.Name
		}
		out = append(out, held)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].RequestID < out[j].RequestID })
	return out
}
