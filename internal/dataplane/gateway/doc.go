// Package gateway forwards clients' HTTP requests to runners without interpreting them. Any method, path and body is
// accepted. The routing table selects the service, quota and output allowance admit the request, the balancer chooses the
// runner, and the runner's response is returned unchanged.
//
// A request moves through the states of a state chart (state.go): received, routed, authenticated (keys.go), admitted
// (admission.go, allowance.go, body.go), then one or more attempts (serve.go). An attempt (attempt.go) chooses a runner,
// sends the request (send.go), classifies the outcome (outcome.go) and forwards the response, either buffered (buffered.go)
// or as an event stream (stream.go). While the runner of a stream stalls, another one may take over (takeover.go,
// successor.go). A response that breaks off is logged with its cause (interruption.go).
//
// Three invariants hold:
//
//   - A request that is not idempotent is never sent again once a byte of it may have left, unless the runner promises
//     that it did not run it.
//   - A client receives a success only if it is the runner's complete, sealed response to that client's request.
//   - A runner's silence alone never ends a request that has been sent: another runner has to continue its stream first.
package gateway
