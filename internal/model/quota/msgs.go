package quota

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Allocation is what one holder has of a tenant's units, and the number of the last transfer that was applied to it.
type Allocation struct {
	Units    int    `msg:"u"`
	Sequence uint64 `msg:"t"`
}

// Charge is an amount of the tolerance that was used. It counts until no window holds both a spend that it stands for and a
// later one.
type Charge struct {
	ID    uint64 `msg:"i"`
	Units int    `msg:"u"`
}
