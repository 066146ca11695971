package handover

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ReachRequest asks a backup whether it reaches a majority of the members of an epoch's view.
type ReachRequest struct {
	Epoch uint64 `msg:"e"`
}

// ReachResponse answers a ReachRequest.
type ReachResponse struct {
	ReachesMajority bool `msg:"m"`
}
