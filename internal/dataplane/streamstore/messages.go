package streamstore

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// SavedRequest is what a further run of a stream's request needs: all but the client's key, of which only the hash is kept.
type SavedRequest struct {
	Method  string              `msg:"m"`
	Path    string              `msg:"p"`
	Header  map[string][]string `msg:"h"`
	Body    []byte              `msg:"b"`
	KeyHash string              `msg:"k"`
}

// ReplicateRequest sends chunks of a stream, or its end, from its owner to its standby.
type ReplicateRequest struct {
	ID        string        `msg:"i"`
	Tenant    string        `msg:"t"`
	Owner     string        `msg:"o"` // name of the router that owns the stream
	OwnerAddr string        `msg:"a"`
	Offset    int           `msg:"f"` // number of the first chunk, from 0
	Chunks    [][]byte      `msg:"p"`
	Complete  bool          `msg:"e"` // the runner has ended the stream
	Failure   string        `msg:"l"` // or it ended with this error code
	Term      int           `msg:"u"` // of the standby, counted over all owners of the stream
	Request   *SavedRequest `msg:"q"` // gives the right to take over; in a standby's first full replica, for idempotent requests
}

// ReadRequest asks for a stream's chunks from an offset on.
type ReadRequest struct {
	ID     string `msg:"i"`
	Tenant string `msg:"t"`
	Offset int    `msg:"a"` // number of the first chunk wanted, from 0
	WaitMs int    `msg:"w"` // how long to wait where there is none yet
}

// ReadResponse answers a ReadRequest.
type ReadResponse struct {
	Found    bool     `msg:"h"` // the stream is here and can be resumed
	Chunks   [][]byte `msg:"p"`
	Complete bool     `msg:"e"` // the runner has ended the stream; Chunks are the last
	Failure  string   `msg:"l"` // or it ended with this error code
}
