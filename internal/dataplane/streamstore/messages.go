package streamstore

//go:generate go tool msgp -tests=false -io=false

// Lengths read from the wire are limited, so that a wrong one can't allocate too much memory.
//msgp:limit arrays:10000000 maps:200000

// SavedRequest is a stream's request, saved for a rerun. Of the client's API key it contains only the hash.
type SavedRequest struct {
	Method  string              `msg:"m"`
	Path    string              `msg:"p"`
	Header  map[string][]string `msg:"h"`
	Body    []byte              `msg:"b"`
	KeyHash string              `msg:"k"`
}

// ReplicateRequest is a change of a stream that its owner sends to its standby: new chunks, the end, or both.
type ReplicateRequest struct {
	ID        string        `msg:"i"`
	Tenant    string        `msg:"t"`
	Owner     string        `msg:"o"` // name of the router that owns the stream
	OwnerAddr string        `msg:"a"`
	Offset    int           `msg:"f"` // number of the first of Chunks, from 0
	Chunks    [][]byte      `msg:"p"`
	Complete  bool          `msg:"e"` // the stream is complete
	Failure   string        `msg:"l"` // error code with which it ended instead; "": none
	Term      int           `msg:"u"` // of the standby, counted over all owners of the stream
	Request   *SavedRequest `msg:"q"` // allows the standby to take the stream over; sent with the first full copy, if a rerun is allowed
}

// ReadRequest requests a stream's chunks from an offset on.
type ReadRequest struct {
	ID     string `msg:"i"`
	Tenant string `msg:"t"`
	Offset int    `msg:"a"` // number of the first chunk wanted, from 0
	WaitMs int    `msg:"w"` // how long to wait for a chunk if there is none yet
}

// ReadResponse is the response to a ReadRequest.
type ReadResponse struct {
	Found    bool     `msg:"h"` // the router has the stream, and it can be resumed
	Chunks   [][]byte `msg:"p"`
	Complete bool     `msg:"e"` // the stream is complete; Chunks are the last
	Failure  string   `msg:"l"` // error code with which it ended instead; "": none
}
