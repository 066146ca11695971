package quotapool

import "yarrowridge/internal/model/quota"

//go:generate go tool msgp -tests=false -io=false -unexported

// Records read from disk with longer arrays or maps are rejected.
//msgp:limit arrays:10000000 maps:200000

// storedPool is the stored form of a tenant's quota pool. It has an entry for every router and is written by every transfer.
// To keep it small, it refers to holders by the numbers of their storedHolder records.
type storedPool struct {
	NamedAllocations map[string]quota.Allocation `msg:"h,omitempty"` // by holder name, as written by older versions; never written
	Cooling          map[string]int              `msg:"c,omitempty"`
	AboveLimit       int                         `msg:"a,omitempty"`
	Charges          []quota.Charge              `msg:"x,omitempty"`
	Allocations      []numberedAllocation        `msg:"n,omitempty"`
}

//msgp:tuple numberedAllocation

// numberedAllocation is a quota.Allocation with its holder's number.
type numberedAllocation struct {
	Holder   uint64
	Units    int
	Sequence uint64
}

// storedHolder is the record of a holder of quota units. Its key contains the holder's number.
type storedHolder struct {
	Name string `msg:"n"`
}

// holderCount is the last holder number that was assigned. Numbers are never reused.
type holderCount struct {
	Last uint64 `msg:"l"`
}
