package session

//go:generate go tool msgp -tests=false -io=false

// Longer arrays and maps on the wire are rejected.
//msgp:limit arrays:100000 maps:1000

//msgp:tuple PackedEntry

// PackedEntry is an Entry whose runners are indexes into Batch.Runners.
type PackedEntry struct {
	Session uint64
	Version uint64
	Runners []int
}

// Batch is the encoding of entries between routers and in the core's storage. Each runner ID occurs once in Runners.
type Batch struct {
	Runners []string      `msg:"r"`
	Entries []PackedEntry `msg:"e"`
	Partial bool          `msg:"p,omitempty"` // the router that answers a FetchRequest has not completed its own fetch yet
}

// FetchRequest asks a router for its most recently used entries. The response is a Batch.
type FetchRequest struct {
	Limit int `msg:"m"` // maximum number of entries
}
