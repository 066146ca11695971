package streamstore

import "sort"

// Info is one stream as operators read it.
type Info struct {
	RequestID  string `json:"query"`
	Tenant     string `json:"tenant"`
	Router     string `json:"router"`     // name of the owner
	Own        bool   `json:"mine"`       // this router is the owner, else it is the standby
	Idempotent bool   `json:"repeatable"` // a further run is allowed
	Term       int    `json:"turn"`       // standbys the stream has had
	Chunks     int    `json:"pieces"`
	Ended      bool   `json:"ended"`          // completely
	Failure    string `json:"lost,omitempty"` // error code of a stream that ended without being complete
}

// List returns all streams kept here, sorted by ID.
func (s *Store) List() []Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Info{}
	for _, stream := range s.byID {
		info := stream.info()
		if info.Own {
			info.Router = s.ctx.Name
		}
		list = append(list, info)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].RequestID < list[j].RequestID })
	return list
}

func (stream *Stream) info() Info {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return Info{RequestID: stream.ID, Tenant: stream.Tenant, Router: stream.ownerName, Own: stream.ownerName == "", Idempotent: stream.request != nil,
		Term: stream.term, Chunks: len(stream.chunks), Ended: stream.complete, Failure: stream.failure}
}
