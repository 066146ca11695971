// Package gateway forwards clients' opaque HTTP requests to runners: any method, path and body, routed by the routing table,
// admitted by quota and output allowance, sent to the runner that the balancer chooses, answered with its response
// unchanged.
//
// A request's way is a state chart (state.go): received, routed, authenticated (keys.go), admitted (admission.go,
// allowance.go, body.go), then attempts (serve.go). An attempt (attempt.go) chooses a runner, sends (send.go), classifies
// the outcome (outcome.go) and forwards the response, buffered (buffered.go) or as a stream of events (stream.go).
//
// Two invariants hold. What can't be repeated is never sent again once a byte may have left, unless the runner promises
// not to have run it. And a client never gets a success that is not the runner's complete sealed response to its request.
package gateway
