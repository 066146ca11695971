package store

//go:generate go tool msgp -tests=false -io=false

// A base may hold very many puts; the checksum vouches for the file.
//msgp:limit arrays:100000000 maps:100000000

// Mutation is one change: a key gets a value, or goes (Gone).
type Mutation struct {
	Key     string `msg:"k"`
	Value   []byte `msg:"v"`
	Deleted bool   `msg:"g"`
}

// Batch is one version: all puts that were synced together. A Base batch holds the whole state;
// a folded one holds the puts of all versions from From on.
type Batch struct {
	Version   uint64     `msg:"s"`
	From      uint64     `msg:"f"`
	Base      bool       `msg:"b"`
	Mutations []Mutation `msg:"p"`
}
