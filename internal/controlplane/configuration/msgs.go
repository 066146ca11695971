package configuration

//go:generate go tool msgp -tests=false -io=false -unexported

// A length read from disk is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// WriteResult is stored under a write's ID: what was written with it.
type WriteResult struct {
	Version uint64 `msg:"s"`
	Hash    string `msg:"h"` // of the document, see Hash
}

// History counts the writes of documents that number themselves, and names the older versions still kept.
type History struct {
	Writes       uint64   `msg:"c"`
	KeptVersions []uint64 `msg:"p"` // the oldest first
}
