package streamstore

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// StreamRequest is what a second run of a stream's request takes: all but the key, of which only the
// hash is kept.
type SavedRequest struct {
	Method  string              `msg:"m"`
	Path    string              `msg:"p"`
	Header  map[string][]string `msg:"h"`
	Body    []byte              `msg:"b"`
	KeyHash string              `msg:"k"`
}

// StreamCopy hands pieces of a stream to its standby.
type ReplicateRequest struct {
	ID        string        `msg:"i"`
	Tenant    string        `msg:"t"`
	Owner     string        `msg:"o"` // name of the router that carries it
	OwnerAddr string        `msg:"a"`
	Offset    int           `msg:"f"`
	Chunks    [][]byte      `msg:"p"`
	Complete  bool          `msg:"e"` // the runner's own end has come
	Failure   string        `msg:"l"` // or it ended in this error
	Term      int           `msg:"u"` // which standby this is, counted over all the stream's routers
	Request   *SavedRequest `msg:"q"` // with the first copy, on repeatable lanes
}

// StreamReadRequest asks for the pieces after a number.
type ReadRequest struct {
	ID     string `msg:"i"`
	Tenant string `msg:"t"`
	Offset int    `msg:"a"`
	WaitMs int    `msg:"w"` // wait so long for something new
}

// StreamReadResponse answers StreamReadRequest with what is held.
type ReadResponse struct {
	Found    bool     `msg:"h"`
	Chunks   [][]byte `msg:"p"`
	Complete bool     `msg:"e"`
	Failure  string   `msg:"l"`
}
