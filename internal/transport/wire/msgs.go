package wire

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Frame is what goes over the wire between our own processes: one call or one answer.
// Fmt is the message format of the sender; neighbours one format apart still talk.
type Frame struct {
	Format    uint8  `msg:"f"`
	ID        uint64 `msg:"i"`
	Kind      string `msg:"k"`
	ErrorCode string `msg:"e"`
	Body      []byte `msg:"b"`

	Compressed        bool `msg:"z"` // Body is compressed
	AcceptsCompressed bool `msg:"u"` // the sender reads compressed bodies; a build that does not passes this over

	wireBytes int `msg:"-"` // on the wire, known once it was written or read
}
