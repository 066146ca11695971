package streamstore

import "yarrowridge/internal/transport/wire"

// The codes with which a standby rejects chunks of a stream.
const (
	codeGap     wire.Code = "gap"      // chunks before the offset are missing
	codeFull    wire.Code = "full"     // no memory is left for replicas
	codeGivenUp wire.Code = "given-up" // the sender no longer owns this stream
)

// CodeRouterLost is the failure of a stream whose router is gone and which nobody can continue.
const CodeRouterLost = "router-lost"
