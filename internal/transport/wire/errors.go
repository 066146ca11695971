package wire

import "errors"

// What a caller must know of a call that got no response: whether the far side may have carried it out. Compare by
// errors.Is. A call that the far side rejected is neither; it has a Code.
var (
	// ErrUnsent means that no byte of the call has left this process: it was not carried out and may be made again,
	// also elsewhere.
	ErrUnsent = errors.New("not sent")
	// ErrOutcomeUnknown means that the call may have been carried out, may be under way or may never arrive. Only an
	// idempotent call may be made again.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// CallError is the error of a call: which call, to whom, and why it failed. It records no stack: calls fail by the
// thousand while a machine is down, and kind and peer say where.
type CallError struct {
	Kind   string // of the call
	Peer   string // the address that was called
	Detail string // what failed, where Err does not say it; else empty
	Err    error  // is or wraps ErrUnsent, ErrOutcomeUnknown or a StatusError
}

// Error returns the kind, the peer, the detail and the error below.
func (e *CallError) Error() string {
	text := e.Kind + " to " + e.Peer
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the error below.
func (e *CallError) Unwrap() error { return e.Err }

// unsent returns the error of a call of which no byte has left this process.
func unsent(kind, peer string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Err: errors.Join(ErrUnsent, cause)}
}

// outcomeUnknown returns the error of a call that may have been carried out.
func outcomeUnknown(kind, peer, detail string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Detail: detail, Err: errors.Join(ErrOutcomeUnknown, cause)}
}
