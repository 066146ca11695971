package coreapi

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// QuotaTransfer acquires or returns units of a tenant's quota.
type QuotaTransfer struct {
	Tenant   string `msg:"t"`
	Holder   string `msg:"n"`
	Sequence uint64 `msg:"k"`
	Units    int    `msg:"u"`
	Return   bool   `msg:"g"`

	// Costs, in units, are those of the requests that wait for an acquire, where they differ: each gets all of its units or none. The
	// rest of Units is kept in reserve.
	Costs []int `msg:"c,omitempty"`
}

// QuotaTransferResult says what the holder has after the transfer.
type QuotaTransferResult struct {
	HeldUnits int `msg:"h"`
	Limit     int `msg:"u"` // the units of all holders, or the quota if larger
}

// QuotaTransfersRequest is transfers of one holder, of as many tenants as it has some for: one call and one
// write carry them all.
type QuotaTransfersRequest struct {
	Holder    string          `msg:"n"`
	Transfers []QuotaTransfer `msg:"l"` // their Holder is empty
}

// QuotaTransfersResponse answers QuotaTransfersRequest, in the order of its transfers.
type QuotaTransfersResponse struct {
	Results []QuotaTransferResult `msg:"l"`
}

// QuotaShare is one holder's share of a tenant's quota.
type QuotaShare struct {
	Tenant  string `msg:"t" json:"tenant"`
	Holder  string `msg:"h" json:"holder"`
	Units   int    `msg:"u" json:"units"`
	Cooling bool   `msg:"c" json:"cooling"`
}
