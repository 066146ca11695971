package share

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Hold is what one holder has of a tenant's units, and the last turn that changed it.
type Hold struct {
	Units int    `msg:"u"`
	Turn  uint64 `msg:"t"`
}

// Charge is a part of the tolerance that was drawn. It counts until no window holds both a spend that it stands
// for and a later one.
type Charge struct {
	ID    uint64 `msg:"i"`
	Units int    `msg:"u"`
}

// QuotaPool is a tenant's quota as the core keeps it: who holds how many units. Cool are units of
// holders that are surely gone, not yet free since the last spends may still count. Above is how many units are
// out above the quota by the tolerance, and Charges what of the tolerance was drawn lately.
type QuotaPool struct {
	Held    map[string]Hold
	Cool    map[string]int
	Above   int
	Charges []Charge
}

// The core stores pools in a form of its own.
//msgp:ignore QuotaPool
