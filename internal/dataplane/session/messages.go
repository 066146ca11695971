package session

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:100000 maps:1000

//msgp:tuple PackedEntry

// PackedEntry is an Entry whose runners are indexes into its batch's list.
type PackedEntry struct {
	Session uint64
	Version uint64
	Runners []int
}

// Batch is entries as they travel between routers and lie at the core. Each runner's ID stands in it once.
type Batch struct {
	Runners []string      `msg:"r"`
	Entries []PackedEntry `msg:"e"`
	Partial bool          `msg:"p,omitempty"` // the router that answers a FetchRequest has not fetched itself yet
}

// FetchRequest asks a router for the entries that it used last; a Batch answers it.
type FetchRequest struct {
	Limit int `msg:"m"` // entries
}
