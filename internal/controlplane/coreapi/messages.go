// Package coreapi holds the messages and codes with which routers, operators' clients and other cores talk to the core.
// The msgp tags are the names on the wire; Claim, StoredConfig and SessionDirectory are stored on the core's disk in the
// same form.
package coreapi

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// SessionDirectory is the routers' session directory as they keep it at the core, in their own form.
type SessionDirectory struct {
	Batch []byte `msg:"b"`
}

// Empty is the response of a call that only succeeds or fails.
type Empty struct{}
