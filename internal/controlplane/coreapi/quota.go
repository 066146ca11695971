package coreapi

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// QuotaTransfer acquires or returns units of a tenant's quota.
type QuotaTransfer struct {
	Tenant   string `msg:"t"`
	Holder   string `msg:"n"` // see the function Holder
	Sequence uint64 `msg:"k"` // goes up with each transfer; an old or repeated one changes nothing
	Units    int    `msg:"u"`
	Return   bool   `msg:"g"` // false: acquire

	// Costs are the costs, in units, of the requests that wait for an acquire, if they differ. Each request gets either all of its
	// units or none. The rest of Units is a reserve.
	Costs []int `msg:"c,omitempty"`
}

// QuotaTransferResult reports the holder's units after a transfer.
type QuotaTransferResult struct {
	HeldUnits int `msg:"h"`
	Limit     int `msg:"u"` // units of all holders together, or the quota if that is larger
}

// QuotaTransfersRequest contains transfers of one holder, for any number of tenants, which the core applies in one write.
type QuotaTransfersRequest struct {
	Holder    string          `msg:"n"`
	Transfers []QuotaTransfer `msg:"l"` // with an empty Holder
}

// QuotaTransfersResponse is the response to a QuotaTransfersRequest, with the results in the order of its transfers.
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
