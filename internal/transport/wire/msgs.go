package wire

import "time"

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths that are read from the wire.
//msgp:limit arrays:10000000 maps:200000

// Frame is one call or one response on the wire. The decoder skips unknown fields and leaves missing ones zero, so that
// adjacent formats are compatible.
type Frame struct {
	Format    uint8  `msg:"f"` // the sender's FormatVersion
	ID        uint64 `msg:"i"` // identifies the call on its connection, starting at 1; a response has its call's ID
	Kind      string `msg:"k"` // the kind of call, as API.name; a response has its call's kind
	ErrorCode string `msg:"e"` // response only: the Code of a failed call; empty on success
	Body      []byte `msg:"b"` // the msgp-encoded message

	// TimeoutMs, of a call only, is the time from the write of the call to the caller's deadline, in milliseconds; 0
	// means no deadline. Older peers do not support it: they neither write nor read it.
	TimeoutMs uint32 `msg:"t,omitempty"`

	Compressed        bool `msg:"z"` // Body is compressed with S2
	AcceptsCompressed bool `msg:"u"` // the sender can read compressed bodies; a build that cannot skips this field

	deadline  time.Time `msg:"-"` // set when a call is read: its caller's deadline, or zero for none
	wireBytes int       `msg:"-"` // size on the wire including the length prefix; set when the frame is written or read
}
