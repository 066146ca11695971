package wire

import "errors"

// Outcomes of a call without a response: they state whether the peer may have executed it. Match them with errors.Is. A
// call that the peer rejected matches neither; its error has a Code (HasCode).
var (
	// ErrUnsent means that no byte of the call left this process: it was not executed, and it is safe to retry it on the
	// same or another peer.
	ErrUnsent = errors.New("not sent")
	// ErrOutcomeUnknown means that the call may have been executed, may still be running or may never arrive. It is safe
	// to retry only if it is idempotent.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// CallError is the error of a failed call. It records no stack trace: thousands of calls fail while a machine is down,
// and Kind and Peer identify the call.
type CallError struct {
	Kind   string // the kind of call
	Peer   string // the address that was called
	Detail string // the step that failed, if Err does not state it; otherwise empty
	Err    error  // is or wraps ErrUnsent, ErrOutcomeUnknown or a StatusError
}

// Error returns the kind, the peer, the detail if any, and the text of the wrapped error.
func (e *CallError) Error() string {
	text := e.Kind + " to " + e.Peer
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the wrapped error.
func (e *CallError) Unwrap() error { return e.Err }

// unsentError returns the error of a call of which no byte left this process.
func unsentError(kind, peer string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Err: errors.Join(ErrUnsent, cause)}
}

// outcomeUnknownError returns the error of a call that may have been executed.
func outcomeUnknownError(kind, peer, detail string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Detail: detail, Err: errors.Join(ErrOutcomeUnknown, cause)}
}
