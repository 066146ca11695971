package coreapi

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ClaimState is how far a claimed request got.
type ClaimState int

// The states of a claim, as they are on the wire and on disk.
const (
	ClaimRunning  ClaimState = 0
	ClaimDone     ClaimState = 1 // completed; the response may be kept
	ClaimUnknown  ClaimState = 2 // the claimant does not know the outcome
	ClaimReleased ClaimState = 3 // the request surely did not run: any other claimant may claim the key
)

// StreamPrefix begins the keys under which the right to resume a stream is claimed. No tenant's key
// begins so: a tenant's name is not empty.
const StreamPrefix = "/stream/"

// Claim is the stored record of an idempotency key.
type Claim struct {
	RequestHash string     `msg:"h"` // hash of the request
	Claimant    string     `msg:"i"` // who claimed it, and in which attempt; the same one may ask again
	Node        string     `msg:"n"`
	NodeRun     uint64     `msg:"b"`
	State       ClaimState `msg:"s"`
	Status      int        `msg:"c"` // of the response, as in HTTP
	ContentType string     `msg:"k"`
	Response    []byte     `msg:"a"`
	HasResponse bool       `msg:"w"` // Response is the whole response
}

// ClaimRequest asks for a claim.
type ClaimRequest struct {
	Key   string `msg:"k"`
	Claim Claim  `msg:"c"`
}

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	Granted     bool  `msg:"g"`
	Conflict    bool  `msg:"x"` // same key, another body
	Running     bool  `msg:"l"` // its node may still be at work on it
	AlreadyRan  bool  `msg:"r"` // the key was used; its claim has expired
	TooManyKeys bool  `msg:"f"` // no more keys can be kept for now
	Claim       Claim `msg:"c"` // the claim in force
}

// CompleteClaimRequest records the outcome of a claimed request, or releases its key.
type CompleteClaimRequest struct {
	Key     string `msg:"k"`
	Release bool   `msg:"f"` // it surely did not run: the key may be claimed anew
	Claim   Claim  `msg:"c"`
}
