package quota

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Allocation is what one holder has of a tenant's units, and the last turn that changed it.
type Allocation struct {
	Units    int    `msg:"u"`
	Sequence uint64 `msg:"t"`
}

// Charge is a part of the tolerance that was drawn. It counts until no window holds both a spend that it stands
// for and a later one.
type Charge struct {
	ID    uint64 `msg:"i"`
	Units int    `msg:"u"`
}

// Pool is a tenant's quota as the core keeps it: who holds how many units. Cooling are units of
// holders that are surely gone, not yet free since the last spends may still count. AboveLimit is how many units are
// out above the quota by the tolerance, and Charges what of the tolerance was drawn lately.
type Pool struct {
	Held       map[string]Allocation
	Cooling    map[string]int
	AboveLimit int
	Charges    []Charge
}

// The core stores pools in a form of its own.
//msgp:ignore Pool
