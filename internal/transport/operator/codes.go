package operator

import "yarrowridge/internal/lib/web"

// Codes of the API's error responses. They must never change, because operators' scripts match them.
const (
	CodeUnknownKey       web.ErrorCode = "unknown-key"      // 401: the operators' key is missing or wrong
	CodeUnknownPath      web.ErrorCode = "unknown-path"     // 404: no such path, or not with this method
	CodeNoCore           web.ErrorCode = "no-core"          // 503: the core did not answer in time
	CodeNoConfig         web.ErrorCode = "no-layout"        // 404: no configuration has been written yet
	CodeNoSuchVersion    web.ErrorCode = "no-such-sequence" // 404: this version of the configuration is not stored
	CodeInvalidVersion   web.ErrorCode = "bad-sequence"     // 400: the query parameter sequence is not a version
	CodeInvalidIfMatch   web.ErrorCode = "bad-if-match"     // 400: the If-Match header is not a version
	CodeInvalidWriteID   web.ErrorCode = "bad-write-id"     // 400: the write ID is too long
	CodeBodyUnreadable   web.ErrorCode = "body-unread"      // 400: the body could not be read to its end
	CodeTooLarge         web.ErrorCode = "too-large"        // 413: the configuration is too large
	CodeInvalidConfig    web.ErrorCode = "bad-layout"       // 400: the configuration has errors, which the response lists
	CodeVersionConflict  web.ErrorCode = "lost-race"        // 412: the current version is not the one in If-Match
	CodeWriteIDReused    web.ErrorCode = "write-id-clash"   // 422: the write ID was used for another write
	CodeWriteNotAccepted web.ErrorCode = "not-taken"        // 503: the write was not applied; it is safe to retry
	CodeOutcomeUnknown   web.ErrorCode = "in-doubt"         // 504: the write may have been applied or may still be
)
