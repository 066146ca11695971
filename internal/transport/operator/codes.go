package operator

import "yarrowridge/internal/lib/web"

// The codes of the API's error responses. Operators' scripts compare them: they never change.
const (
	CodeUnknownKey       web.ErrorCode = "unknown-key"      // 401: not the operators' key
	CodeUnknownPath      web.ErrorCode = "unknown-path"     // 404: nothing is served at this path and method
	CodeNoCore           web.ErrorCode = "no-core"          // 503: the core did not answer in time
	CodeNoConfig         web.ErrorCode = "no-layout"        // 404: no configuration was written yet
	CodeNoSuchVersion    web.ErrorCode = "no-such-sequence" // 404: this version of the configuration is not kept
	CodeInvalidVersion   web.ErrorCode = "bad-sequence"     // 400: the query's sequence is no version
	CodeInvalidIfMatch   web.ErrorCode = "bad-if-match"     // 400: the If-Match header is no version
	CodeInvalidWriteID   web.ErrorCode = "bad-write-id"     // 400: the write ID is too long
	CodeBodyUnreadable   web.ErrorCode = "body-unread"      // 400: the body broke off
	CodeTooLarge         web.ErrorCode = "too-large"        // 413: the configuration is too large
	CodeInvalidConfig    web.ErrorCode = "bad-layout"       // 400: the configuration has errors, which the response lists
	CodeVersionConflict  web.ErrorCode = "lost-race"        // 412: the configuration is no longer at the version of If-Match
	CodeWriteIDReused    web.ErrorCode = "write-id-clash"   // 422: the write ID was used for another write
	CodeWriteNotAccepted web.ErrorCode = "not-taken"        // 503: the write was not carried out; it may be repeated
	CodeOutcomeUnknown   web.ErrorCode = "in-doubt"         // 504: the write may yet take effect
)
