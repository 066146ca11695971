package wire

import "errors"

// Code says why the far side rejected a call. It goes over the wire as text. Each API declares its codes as constants
// of this type, in one table.
type Code string

// The codes that this package itself answers with.
const (
	CodeUnknownKind Code = "unknown-kind" // no handler serves this kind of call; it was not carried out
	CodeInvalidBody Code = "bad-body"     // the body is not the message of its kind; the call was not carried out
	CodeInternal    Code = "trouble"      // the handler failed with an error that is no StatusError
)

// StatusError is the far side's answer that it rejected a call or failed at it. The connection itself worked.
type StatusError struct{ Code Code }

// Error returns the code.
func (e StatusError) Error() string { return string(e.Code) }

// HasCode reports whether err is or wraps a StatusError with this code.
func HasCode(err error, code Code) bool {
	var status StatusError
	return errors.As(err, &status) && status.Code == code
}

// codeOf returns the code that tells a caller of a handler's error.
func codeOf(err error) Code {
	var status StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return CodeInternal
}
