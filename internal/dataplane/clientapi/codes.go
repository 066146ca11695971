package clientapi

import "yarrowridge/internal/dataplane/streamstore"

// Code says why a request was rejected or failed. Clients, operators and metrics read its text, which never changes;
// docs/operators/day-two.md lists each with its status and Retry-After, docs/streams.md those that end a stream.
type Code string

// The codes of this API. Some texts keep older words.
const (
	CodeBadJSON           Code = "bad-json"         // the body is no JSON object
	CodeBadPrompt         Code = "bad-prompt"       // a field of the prompt is missing or wrong
	CodeBadMaxTokens      Code = "bad-max-tokens"   // the output asked for is out of range
	CodeBadKey            Code = "bad-key"          // the Idempotency-Key is too long
	CodeBadEventID        Code = "bad-piece"        // the number of the last event is wrong
	CodeBadType           Code = "bad-type"         // another Content-Type than JSON
	CodeBadEncoding       Code = "bad-encoding"     // a Content-Encoding
	CodeBodyIncomplete    Code = "body-unread"      // the body broke off
	CodeBodySlow          Code = "body-slow"        // the body did not come in time
	CodeBodyTooLarge      Code = "body-too-large"   // the body is over its bound
	CodeUnknownKey        Code = "unknown-key"      // no tenant has this key
	CodeKeyWithdrawn      Code = "key-withdrawn"    // the key was withdrawn while the request ran
	CodeAllowanceExceeded Code = "no-funds"         // over the free output allowance
	CodeClassNotAllowed   Code = "lane-closed"      // the traffic class is not open to the tenant
	CodeUnknownPath       Code = "unknown-path"     // no route has this path
	CodeNoRoute           Code = "no-mapping"       // a route has this path, but not the method or headers
	CodeNoStream          Code = "no-stream"        // no router holds this stream for the tenant
	CodeStillRunning      Code = "still-running"    // a request with this idempotency key runs
	CodeResponseNotStored Code = "done-not-kept"    // it ran; its response was too large to store
	CodeAlreadyRan        Code = "ran-before"       // it ran long ago
	CodeOutcomeUnknown    Code = "outcome-unknown"  // its router or runner was lost
	CodeKeyReused         Code = "key-clash"        // the idempotency key was used for another request
	CodeTooManyKeys       Code = "keys-full"        // no more idempotency keys can be kept
	CodeCoreUnreachable   Code = "no-core"          // the core cannot be asked
	CodeOverQuota         Code = "over-quota"       // costs more than the whole quota
	CodeQuotaSpent        Code = "quota-spent"      // the quota is spent for now
	CodeQuotaUnknown      Code = "quota-unknown"    // the core did not tell whether the quota is spent
	CodeRunnerUnreachable Code = "runner-unreached" // no connection to a runner
	CodeRunnerLost        Code = "runner-lost"      // the runner broke off
	CodeRunnerStalled     Code = "runner-silent"    // the runner sent nothing for too long
	CodeResponseUnframed  Code = "answer-unframed"  // the response has no marked end
	CodeResponseTooLarge  Code = "answer-too-large" // the response is over its bound
	CodeEventTooLarge     Code = "piece-too-large"  // an event is over its bound
	CodeReplayDiffers     Code = "run-differs"      // a second run of a stream did not repeat the first
	CodeNoRunner          Code = "no-runner"        // no ready runner serves the request
	CodeQueueTimeout      Code = "patience-out"     // no runner had capacity in time
	CodeQueueFull         Code = "queue-full"       // too many requests wait
	CodeConfigChanged     Code = "layout-changed"   // the configuration moved the path of a waiting request
	CodeTooManyRequests   Code = "too-many"         // too many requests in flight
	CodeNotReady          Code = "not-ready"        // no configuration yet
	CodeInternal          Code = "internal"         // a fault of ours
	CodeClientLeft        Code = "origin-left"      // the client left; nobody reads this code but the log
	CodeResumed           Code = "resumed"          // a stream was read to its end; log only
	CodeReplayed          Code = "replayed"         // a stored response was sent; log only
	CodeTakenOver         Code = "taken-over"       // another router serves the stream; log only

	// CodeRouterLost is the failure of a stream whose router is gone, as routers report it to one another.
	CodeRouterLost Code = streamstore.CodeRouterLost
)
