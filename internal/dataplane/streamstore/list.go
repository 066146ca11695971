package streamstore

import "sort"

// Info describes one stream to operators.
type Info struct {
	RequestID  string `json:"query"`
	Tenant     string `json:"tenant"`
	Router     string `json:"router"`     // name of the owner
	Own        bool   `json:"mine"`       // this router is the owner; if false, it has the standby's replica
	Idempotent bool   `json:"repeatable"` // a rerun of the request is allowed
	Term       int    `json:"turn"`       // term of the standby, counted over all owners of the stream
	Chunks     int    `json:"pieces"`
	Ended      bool   `json:"ended"`          // the stream is complete
	Failure    string `json:"lost,omitempty"` // error code with which the stream ended; "": none
}

// List returns all streams in the store, sorted by request ID.
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
