package upstream

import (
	"errors"
	"fmt"
)

// Errors that the errors of this package wrap.
var (
	// ErrConnectionLimit means that as many connections are open as SetMaxConnections allows, and none of them is idle.
	ErrConnectionLimit = errors.New("connection limit of the runner is reached")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("connection pool is closed")
	// ErrBadRequest means that a request cannot be written as HTTP/1.1.
	ErrBadRequest = errors.New("request cannot be written as HTTP/1.1")
	// ErrMalformed means that the response of the runner is not valid HTTP/1.1.
	ErrMalformed = errors.New("response is not valid HTTP/1.1")
	// ErrHeadTooLarge means that the head of a response is larger than MaxHeadBytes.
	ErrHeadTooLarge = errors.New("head of the response is too large")
	// ErrUnrelatedResponses means that the responses to other requests were too many, too large or without a marked end.
	ErrUnrelatedResponses = errors.New("unexpected responses to other requests on the connection")
	// ErrExchangeOver means that an exchange was used after Finish or Abort.
	ErrExchangeOver = errors.New("exchange has already ended")
)

// Step is a step of an exchange.
type Step string

// Steps of an exchange.
const (
	StepEncode   Step = "encode request"
	StepConnect  Step = "connect"
	StepWrite    Step = "write request"
	StepReadHead Step = "read head"
	StepReadBody Step = "read body"
)

// SendError is the error of a failed exchange with a runner.
type SendError struct {
	Sent    bool   // false only if no byte of the request can have been sent
	Step    Step   // the step that failed
	Address string // of the runner
	Err     error
}

// Error returns a message with the step, the runner's address and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("upstream: %s, runner %s: %v", e.Step, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }
