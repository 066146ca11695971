// Package coreapi defines the messages and error codes of the API that a core provides to routers, to the operators' API and
// to other cores. The msgp tags are the field names on the wire. Claim, StoredConfig, SessionDirectory and Node are also stored
// on the core's disk in this encoding.
package coreapi

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// SessionDirectory is the session directory that routers store at the core. The core does not decode Batch.
type SessionDirectory struct {
	Batch []byte `msg:"b"`
}

// Empty is a message without content, such as the response to a call that only succeeds or fails.
type Empty struct{}
