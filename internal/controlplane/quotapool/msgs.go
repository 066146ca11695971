package quotapool

import "yarrowridge/internal/model/quota"

//go:generate go tool msgp -tests=false -io=false -unexported

// A length read from disk is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// storedPool is a tenant's quota pool as it is on disk. It has an entry for every router and is written with every
// transfer, so holders go by the numbers of their storedHolder records.
type storedPool struct {
	NamedAllocations map[string]quota.Allocation `msg:"h,omitempty"` // by name: as older versions wrote it, only read
	Cooling          map[string]int              `msg:"c,omitempty"`
	AboveLimit       int                         `msg:"a,omitempty"`
	Charges          []quota.Charge              `msg:"x,omitempty"`
	Allocations      []numberedAllocation        `msg:"n,omitempty"`
}

//msgp:tuple numberedAllocation

// numberedAllocation is a quota.Allocation with the number of its holder.
type numberedAllocation struct {
	Holder   uint64
	Units    int
	Sequence uint64
}

// storedHolder is the name of a holder of quota units, under its number.
type storedHolder struct {
	Name string `msg:"n"`
}

// holderCount is how many numbers of holders were given out: none is given twice.
type holderCount struct {
	Last uint64 `msg:"l"`
}
