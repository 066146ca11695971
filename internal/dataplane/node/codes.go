package node

import "yarrowridge/internal/transport/wire"

// The codes with which a standby rejects a copy of a stream.
const (
	codeGap     wire.Code = "gap"      // pieces before this copy are missing
	codeFull    wire.Code = "full"     // no memory left for copies
	codeGivenUp wire.Code = "given-up" // the sender no longer carries this stream
)
