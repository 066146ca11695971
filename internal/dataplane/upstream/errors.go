package upstream

import (
	"errors"
	"fmt"
)

// Causes that errors.Is finds in the errors of this package.
var (
	// ErrConnectionLimit says that as many connections are open as SetMaxConnections allows and none of them is idle.
	ErrConnectionLimit = errors.New("no connection to the runner is free")
	// ErrClosed says that the pool has been closed.
	ErrClosed = errors.New("connection pool is closed")
	// ErrBadRequest says that a request cannot be written as HTTP/1.1.
	ErrBadRequest = errors.New("request cannot be written as HTTP/1.1")
	// ErrMalformed says that the runner's response is not HTTP/1.1.
	ErrMalformed = errors.New("response is not HTTP/1.1")
	// ErrHeadTooLarge says that the head of the runner's response is larger than MaxHeadBytes.
	ErrHeadTooLarge = errors.New("head of the response is too large")
	// ErrUnrelatedResponses says that the responses of other requests were too many, too large or without an end.
	ErrUnrelatedResponses = errors.New("responses of other requests on the connection")
	// ErrExchangeOver says that an exchange was used after Finish or Abort.
	ErrExchangeOver = errors.New("exchange is over")
)

// Step is the part of an exchange that failed.
type Step string

// The steps of an exchange.
const (
	StepEncode   Step = "encode request"
	StepConnect  Step = "connect"
	StepWrite    Step = "write request"
	StepReadHead Step = "read head"
	StepReadBody Step = "read body"
)

// SendError is a failed exchange with one runner.
type SendError struct {
	Sent    bool // a byte of the request may have left; false only where none can have
	Step    Step
	Address string // the runner's
	Err     error
}

// Error names the step, the runner and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("upstream: %s, runner %s: %v", e.Step, e.Address, e.Err)
}

// Unwrap gives the cause.
func (e *SendError) Unwrap() error { return e.Err }
