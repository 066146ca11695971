package core

import (
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/quota"
)

//go:generate go tool msgp -tests=false -io=false -unexported

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// JoinRequest is a process that is no member asking to become one.
type JoinRequest struct {
	Member view.Member `msg:"w"`
}

// storedPool is a tenant's quota pool as it is on disk. It has an entry for every router and is written with every
// move, so holders go by the numbers of their storedHolder records.
type storedPool struct {
	Held    map[string]quota.Allocation `msg:"h,omitempty"` // by name: as older versions wrote it, only read
	Cool    map[string]int              `msg:"c,omitempty"`
	Above   int                         `msg:"a,omitempty"`
	Charges []quota.Charge              `msg:"x,omitempty"`
	Holds   []numberedHold              `msg:"n,omitempty"`
}

//msgp:tuple numberedHold

// numberedHold is a share.Hold with the number of its holder.
type numberedHold struct {
	Holder uint64
	Units  int
	Turn   uint64
}

// storedHolder is the name of a holder of quota units, under its number.
type storedHolder struct {
	Name string `msg:"n"`
}

// holderCount is how many numbers of holders were given out: none is given twice.
type holderCount struct {
	Last uint64 `msg:"l"`
}
