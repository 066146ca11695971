// Package wire implements remote procedure calls between yarrowridge's own processes: msgp frames over one TCP
// connection per [Caller] and address, which carries many concurrent calls.
//
// The package does not interpret the messages. A call's kind has the form API.name: the part before the first dot selects
// the API that serves it ([Handlers]). Each API defines its own messages and error codes ([Code]).
//
// Guarantees:
//
//   - A call is written at most once and never retried by the package. Callers decide by [ErrUnsent] and
//     [ErrOutcomeUnknown] whether a retry is safe.
//   - A response is delivered only to the call with its ID on the same connection. IDs are not reused on a connection, so
//     a response to an abandoned call is dropped.
//   - Processes whose frame formats differ by one are compatible ([FormatVersion]), so that a release can be rolled out
//     and rolled back process by process.
package wire
