package wire

import "time"

//go:generate go tool msgp -tests=false -io=false

// No length read from the wire is trusted beyond these.
//msgp:limit arrays:10000000 maps:200000

// Frame is what goes over the wire: one call or one response. Unknown fields are skipped and missing ones are zero, so
// that formats one apart understand each other.
type Frame struct {
	Format    uint8  `msg:"f"` // the FormatVersion of the sender
	ID        uint64 `msg:"i"` // of the call on its connection, from 1 on; a response carries its call's
	Kind      string `msg:"k"` // which call, as API.name; a response carries its call's
	ErrorCode string `msg:"e"` // of a response: the Code of a call that failed; else empty
	Body      []byte `msg:"b"` // the message, in msgp

	// TimeoutMs is of a call: how long its caller still waits for the response, in milliseconds from when the call was
	// written; 0: for as long as it takes. Older peers neither write nor read it.
	TimeoutMs uint32 `msg:"t,omitempty"`

	Compressed        bool `msg:"z"` // Body is compressed by S2
	AcceptsCompressed bool `msg:"u"` // the sender reads compressed bodies; a build that does not skips this field

	deadline  time.Time `msg:"-"` // of a call that was read: when its caller gives up; zero: never
	wireBytes int       `msg:"-"` // size on the wire with its length prefix, known once the frame was written or read
}
