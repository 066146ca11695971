package store

//go:generate go tool msgp -tests=false -io=false

// A snapshot may hold very many mutations; the checksum vouches for the file.
//msgp:limit arrays:100000000 maps:100000000

// Mutation is one change: a key gets a value, or is deleted.
type Mutation struct {
	Key     string `msg:"k"`
	Value   []byte `msg:"v"`
	Deleted bool   `msg:"g"`
}

// Batch is one version: the mutations that are synced together. A snapshot has the whole state; a compacted batch has the
// mutations of all versions from FirstVersion to Version, any other one has FirstVersion 0.
type Batch struct {
	Version      uint64     `msg:"s"`
	FirstVersion uint64     `msg:"f"`
	IsSnapshot   bool       `msg:"b"`
	Mutations    []Mutation `msg:"p"`
}
