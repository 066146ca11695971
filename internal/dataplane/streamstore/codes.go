package streamstore

import "yarrowridge/internal/transport/wire"

// The codes with which a standby rejects to replicate chunks.
const (
	codeGap     wire.Code = "gap"      // chunks before the offset are missing
	codeFull    wire.Code = "full"     // no memory left for replicas
	codeGivenUp wire.Code = "given-up" // the sender no longer owns this stream
)
