package coreapi

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// ConfigRequest requests a version of the configuration.
type ConfigRequest struct {
	Version uint64 `msg:"s"` // 0: the newest
}

// StoredConfig is a configuration in the form in which the core stores it.
type StoredConfig struct {
	Version uint64 `msg:"s"`
	Raw     []byte `msg:"r"`
}

// WriteRequest is an operator's change to the configuration.
type WriteRequest struct {
	ID          string `msg:"i"` // write ID chosen by the operator, for repeated writes; may be empty
	BaseVersion uint64 `msg:"m"` // version that the change is based on; ignored if AnyVersion is set
	AnyVersion  bool   `msg:"a"` // apply the change to whichever version is current
	Patch       bool   `msg:"p"` // Raw is a partial change, not a complete document
	Raw         []byte `msg:"r"`
}

// WriteResponse is the response to a WriteRequest.
type WriteResponse struct {
	Code     int           `msg:"c"` // HTTP status
	Version  uint64        `msg:"s"`
	Errors   []ConfigError `msg:"f"`
	Repeated bool          `msg:"a"` // a write with this ID was applied before
}

// ConfigError is one error in a configuration document.
type ConfigError struct {
	Path string `msg:"p" json:"path"`
	Text string `msg:"t" json:"text"`
}
