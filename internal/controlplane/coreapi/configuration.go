package coreapi

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ConfigRequest asks for the configuration: the newest, or an older one by version.
type ConfigRequest struct {
	Version uint64 `msg:"s"`
}

// StoredConfig is a configuration as the core stores it.
type StoredConfig struct {
	Version uint64 `msg:"s"`
	Raw     []byte `msg:"r"`
}

// WriteRequest is an operator's change of the configuration.
type WriteRequest struct {
	ID          string `msg:"i"` // the operator's write ID; may be empty
	BaseVersion uint64 `msg:"m"` // the version it was made against; ignored with AnyVersion
	AnyVersion  bool   `msg:"a"`
	Patch       bool   `msg:"p"`
	Raw         []byte `msg:"r"`
}

// WriteResponse answers a WriteRequest: Code is the HTTP status.
type WriteResponse struct {
	Code     int           `msg:"c"`
	Version  uint64        `msg:"s"`
	Errors   []ConfigError `msg:"f"`
	Repeated bool          `msg:"a"` // the write ID was known: it was applied before
}

// ConfigError is one error in a configuration document.
type ConfigError struct {
	Path string `msg:"p" json:"path"`
	Text string `msg:"t" json:"text"`
}
