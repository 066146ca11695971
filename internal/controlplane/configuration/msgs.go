package configuration

//go:generate go tool msgp -tests=false -io=false -unexported

// Decoding rejects longer arrays and maps, so that a corrupt length on disk does not cause a huge allocation.
//msgp:limit arrays:10000000 maps:200000

// WriteResult is the result of a write, stored by the write's ID.
type WriteResult struct {
	Version uint64 `msg:"s"`
	Hash    string `msg:"h"` // of the document, see Hash
}

// History is stored once a document has carried its own version: it counts all writes and lists the stored versions.
type History struct {
	Writes       uint64   `msg:"c"`
	KeptVersions []uint64 `msg:"p"` // oldest first
}
