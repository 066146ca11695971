package clientapi

import "yarrowridge/internal/dataplane/streamstore"

// Code is the reason why a request was rejected or failed. Clients, operators and metrics depend on the texts, so they never
// change. docs/operators/day-two.md lists each code with its status and Retry-After, docs/streams.md those that end a stream.
type Code string

// The codes of this API. Some texts use older terms than the names.
const (
	CodeBadJSON           Code = "bad-json"         // the body is not a JSON object
	CodeBadPrompt         Code = "bad-prompt"       // a field of the prompt is missing or wrong
	CodeBadMaxTokens      Code = "bad-max-tokens"   // the output asked for is out of range
	CodeBadKey            Code = "bad-key"          // the Idempotency-Key is too long
	CodeBadEventID        Code = "bad-piece"        // the number of the last event is invalid
	CodeBadType           Code = "bad-type"         // the Content-Type is not JSON
	CodeBadEncoding       Code = "bad-encoding"     // the body has a Content-Encoding
	CodeBodyIncomplete    Code = "body-unread"      // the body ended early
	CodeBodySlow          Code = "body-slow"        // the body did not arrive in time
	CodeBodyTooLarge      Code = "body-too-large"   // the body exceeds its size limit
	CodeUnknownKey        Code = "unknown-key"      // no tenant has this key
	CodeKeyWithdrawn      Code = "key-withdrawn"    // the key was withdrawn while the request ran
	CodeAllowanceExceeded Code = "no-funds"         // over the free output allowance
	CodeClassNotAllowed   Code = "lane-closed"      // the traffic class is not open to the tenant
	CodeUnknownPath       Code = "unknown-path"     // no route has this path
	CodeNoRoute           Code = "no-mapping"       // a route has this path, but not the method or headers
	CodeNoStream          Code = "no-stream"        // no router within reach has this stream for the tenant
	CodeStillRunning      Code = "still-running"    // a request with this idempotency key is running
	CodeResponseNotStored Code = "done-not-kept"    // the request with this key ran, but its response was too large to store
	CodeAlreadyRan        Code = "ran-before"       // the request with this key ran too long ago to know its outcome
	CodeOutcomeUnknown    Code = "outcome-unknown"  // the outcome of the request with this key was lost with its router or runner
	CodeKeyReused         Code = "key-clash"        // this idempotency key was used for another request
	CodeTooManyKeys       Code = "keys-full"        // the core stores no more idempotency keys
	CodeCoreUnreachable   Code = "no-core"          // the core is out of reach
	CodeOverQuota         Code = "over-quota"       // the request costs more than the whole quota
	CodeQuotaSpent        Code = "quota-spent"      // the quota is spent for now
	CodeQuotaUnknown      Code = "quota-unknown"    // the core has not reported whether the quota is spent
	CodeRunnerUnreachable Code = "runner-unreached" // no runner could be connected to
	CodeRunnerLost        Code = "runner-lost"      // the runner failed before its response was complete
	CodeRunnerStalled     Code = "runner-silent"    // the runner sent nothing for too long
	CodeResponseUnframed  Code = "answer-unframed"  // the response has neither a length nor chunked encoding
	CodeResponseTooLarge  Code = "answer-too-large" // the response exceeds its size limit
	CodeEventTooLarge     Code = "piece-too-large"  // an event exceeds its size limit
	CodeReplayDiffers     Code = "run-differs"      // the rerun of a stream did not repeat the recorded events
	CodeNoRunner          Code = "no-runner"        // no ready runner serves the request
	CodeQueueTimeout      Code = "patience-out"     // no runner had capacity in time
	CodeQueueFull         Code = "queue-full"       // too many requests are queued
	CodeConfigChanged     Code = "layout-changed"   // the configuration routes a queued request elsewhere now
	CodeTooManyRequests   Code = "too-many"         // too many requests in flight
	CodeNotReady          Code = "not-ready"        // no configuration yet
	CodeInternal          Code = "internal"         // an internal error of the router
	CodeClientLeft        Code = "origin-left"      // the client disconnected; only in logs and metrics
	CodeResumed           Code = "resumed"          // a resumed stream was read to its end; only in logs and metrics
	CodeReplayed          Code = "replayed"         // a stored response was sent; only in logs and metrics
	CodeTakenOver         Code = "taken-over"       // another router serves the stream; only in logs and metrics

	// CodeRouterLost is the failure of a stream whose router is gone. Routers report it to each other.
	CodeRouterLost Code = streamstore.CodeRouterLost
)
