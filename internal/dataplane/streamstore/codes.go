package streamstore

import "yarrowridge/internal/transport/wire"

// The codes with which a standby rejects a change of a stream.
const (
	codeGap     wire.Code = "gap"      // the replica lacks chunks before the offset
	codeFull    wire.Code = "full"     // the store has no memory left for the change
	codeGivenUp wire.Code = "given-up" // the sender no longer owns this stream, or the standby has recorded its failure
)

// CodeRouterLost is the failure of a stream whose owner is gone and which no router can continue.
const CodeRouterLost = "router-lost"
