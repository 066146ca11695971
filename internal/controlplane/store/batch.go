package store

//go:generate go tool msgp -tests=false -io=false

// The limits are high because a snapshot may contain very many mutations. The checksum protects lengths read from a file.
//msgp:limit arrays:100000000 maps:100000000

// Mutation sets a key to a value, or deletes it.
type Mutation struct {
	Key     string `msg:"k"`
	Value   []byte `msg:"v"`
	Deleted bool   `msg:"g"`
}

// Batch is one version: the mutations that are synced together. A snapshot contains the whole state. A compacted batch
// contains the mutations of all versions from FirstVersion to Version; FirstVersion is 0 in all other batches.
type Batch struct {
	Version      uint64     `msg:"s"`
	FirstVersion uint64     `msg:"f"`
	IsSnapshot   bool       `msg:"b"`
	Mutations    []Mutation `msg:"p"`
}
