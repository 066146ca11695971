package handover

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that the decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// ReachRequest asks a backup whether it reaches a majority of the members in the view of an epoch.
type ReachRequest struct {
	Epoch uint64 `msg:"e"`
}

// ReachResponse is the response to a ReachRequest.
type ReachResponse struct {
	ReachesMajority bool `msg:"m"`
}
