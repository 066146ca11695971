package store

//go:generate go tool msgp -tests=false

// Put is one change: a key gets a value, or goes (Gone).
type Put struct {
	Key  string `msg:"k"`
	Val  []byte `msg:"v"`
	Gone bool   `msg:"g"`
}

// Batch is one version: all puts that were synced together. A Base batch holds the whole state.
type Batch struct {
	Seq  uint64 `msg:"s"`
	Base bool   `msg:"b"`
	Puts []Put  `msg:"p"`
}
