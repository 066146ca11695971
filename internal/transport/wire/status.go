package wire

import "errors"

// Code is the reason why the peer rejected a call. It is sent as text. Each API declares its codes in one list of
// constants of this type.
type Code string

// Codes that this package itself responds with.
const (
	CodeUnknownKind Code = "unknown-kind" // no handler serves this kind of call; it was not executed
	CodeInvalidBody Code = "bad-body"     // the body could not be decoded; the call was not executed
	CodeInternal    Code = "trouble"      // the handler failed with an error without a Code
)

// StatusError is the error of a call that the peer rejected or failed to execute. The connection itself worked.
type StatusError struct{ Code Code }

// Error returns the code.
func (e StatusError) Error() string { return string(e.Code) }

// HasCode reports whether err is or wraps a StatusError with the given code.
func HasCode(err error, code Code) bool {
	var status StatusError
	return errors.As(err, &status) && status.Code == code
}

// codeOf returns the code to send to the caller for a handler's error.
func codeOf(err error) Code {
	var status StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return CodeInternal
}
