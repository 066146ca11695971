package wire

import "errors"

// CallError is a call that failed: which call, to whom, and why. It records no stack: calls fail by the thousand
// while a machine is away, and the kind of call and the peer say where.
type CallError struct {
	Kind   string // of the call
	Peer   string // the address that was called
	Detail string // that failed, where the cause does not say it; empty otherwise
	Err    error  // wraps ErrUnsent, ErrDoubt or a Fault
}

// Error gives the call, the peer, the step and the cause.
func (e *CallError) Error() string {
	text := e.Kind + " to " + e.Peer
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text + ": " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Err }

// unsent is a call of which no byte has left.
func unsent(kind, peer string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Err: errors.Join(ErrUnsent, cause)}
}

// inDoubt is a call that may have been carried out.
func outcomeUnknown(kind, peer, step string, cause error) error {
	return &CallError{Kind: kind, Peer: peer, Detail: step, Err: errors.Join(ErrOutcomeUnknown, cause)}
}
