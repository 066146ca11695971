// Package wire carries calls between yarrowridge's own processes: msgp frames over one TCP connection for each pair of
// caller and address, with many calls under way on it at a time.
//
// It knows nothing of what the frames mean. The part of a call's kind before the dot names the API that serves it
// ([Handlers]); each API owns its messages and its codes ([Code]).
//
// What a caller may rely on:
//
//   - A call is written once at most. The package never sends it again; whether that is safe is the caller's decision,
//     by [ErrUnsent] and [ErrOutcomeUnknown].
//   - A response reaches the call with its ID on its connection or nobody. IDs are not used twice on a connection, so a
//     response that comes after its caller gave up is dropped.
//   - Processes whose formats differ by one talk to each other ([FormatVersion]): a release is rolled out and back
//     process by process.
package wire
