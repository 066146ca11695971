package quota

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that a decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// Allocation holds the units of one tenant's limit that are allocated to one holder, and the sequence number of the last
// transfer applied to it.
type Allocation struct {
	Units    int    `msg:"u"`
	Sequence uint64 `msg:"t"`
}

// Charge is an amount of the tolerance that was used. It counts until no window can contain both a spend that it covers and a
// later one.
type Charge struct {
	ID    uint64 `msg:"i"`
	Units int    `msg:"u"`
}
