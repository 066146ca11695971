package coreapi

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// ClaimState is the progress of a claimed request.
type ClaimState int

// The states of a claim. The values are part of the wire and disk formats.
const (
	ClaimRunning  ClaimState = 0
	ClaimDone     ClaimState = 1 // completed; the response may be stored
	ClaimUnknown  ClaimState = 2 // the claimant does not know the outcome
	ClaimReleased ClaimState = 3 // the request definitely did not run: any other claimant may claim the key
)

// StreamPrefix is the prefix of keys under which the right to resume a stream is claimed. It can't collide with a tenant's
// keys, since those start with the tenant's name, which is not empty.
const StreamPrefix = "/stream/"

// Claim is the stored record of an idempotency key.
type Claim struct {
	RequestHash string     `msg:"h"` // hash of the request
	Claimant    string     `msg:"i"` // claiming party and its attempt; the same claimant may repeat its request
	Node        string     `msg:"n"` // name of the claimant's node
	NodeRun     uint64     `msg:"b"` // run of the node's process
	State       ClaimState `msg:"s"`
	Status      int        `msg:"c"` // HTTP status of the response
	ContentType string     `msg:"k"`
	Response    []byte     `msg:"a"`
	HasResponse bool       `msg:"w"` // Response is the complete response
}

// ClaimRequest claims an idempotency key.
type ClaimRequest struct {
	Key   string `msg:"k"`
	Claim Claim  `msg:"c"`
}

// ClaimResponse is the response to a ClaimRequest.
type ClaimResponse struct {
	Granted     bool  `msg:"g"`
	Conflict    bool  `msg:"x"` // the key was claimed for a request with another hash
	Running     bool  `msg:"l"` // the claimant's node may still be processing the request
	AlreadyRan  bool  `msg:"r"` // the key was used before, and its claim has expired
	TooManyKeys bool  `msg:"f"` // no more keys can be stored for now
	Claim       Claim `msg:"c"` // the claim in force
}

// CompleteClaimRequest records the outcome of a claimed request, or releases its key.
type CompleteClaimRequest struct {
	Key     string `msg:"k"`
	Release bool   `msg:"f"` // the request definitely did not run: the key may be claimed again
	Claim   Claim  `msg:"c"`
}
