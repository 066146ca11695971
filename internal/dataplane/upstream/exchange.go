package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// The states of an exchange.
const (
	exchangeRunning = iota
	exchangeFinished
	exchangeAborted
)

// Exchange is one request and its response on one connection. One goroutine at a time uses it; Abort may be
// called by any. It ends with Finish or Abort.
type Exchange struct {
	// Body gives the response's bytes as they come, after ReadHead. Its marked end is io.EOF. A body that the
	// runner cuts short is io.ErrUnexpectedEOF; any other failure is a *SendError.
	Body io.Reader

	ctx             context.Context
	detachContext   func() bool // keeps ctx from closing the connection
	connection      *connection
	reader          *bufio.Reader
	method          string
	reused          bool
	response        *http.Response
	bodyFramed      bool
	bodyBytesLeft   int64        // bytes of a body of known length that are still to be read
	chunks          io.Reader    // of a chunked body, up to its last chunk
	atTrailer       bool         // of a chunked body only the trailer is still to be read
	bodyDone        bool         // the body was read to its end
	notReusable     bool         // the connection must not be used again
	hasReadDeadline bool         // a read deadline is set
	state           atomic.Int32 // running, finished or aborted
}

// Reused reports whether the connection was idle before.
func (e *Exchange) Reused() bool { return e.reused }

// SetReadDeadline bounds reads of the head and the body; the zero time lifts the bound. After a read has met
// the deadline (os.ErrDeadlineExceeded) nothing more can be read.
func (e *Exchange) SetReadDeadline(at time.Time) error {
	e.hasReadDeadline = !at.IsZero()
	return e.connection.SetReadDeadline(at)
}

// cause says why the response could not be read: the context's end, the connection, or what the runner sent.
func (e *Exchange) cause(err error) error {
	failed := e.connection.readErr
	switch {
	case e.ctx.Err() != nil:
		return context.Cause(e.ctx)
	case failed == nil:
		return eris.Wrap(ErrMalformed, err.Error())
	case errors.Is(failed, io.EOF) || errors.Is(failed, syscall.ECONNRESET):
		return io.ErrUnexpectedEOF
	}
	return failed
}

// failure is an error after the request has been written.
func (e *Exchange) failure(step Step, err error) error {
	return &SendError{Sent: true, Step: step, Address: e.connection.peer.address, Err: err}
}

// Finish ends the exchange. The connection is kept for another if the body was read to its marked end, the
// runner does not close it, and it has sent nothing more; otherwise it is closed, or aborted where the body was not read
// to its end.
func (e *Exchange) Finish() {
	if !e.state.CompareAndSwap(exchangeRunning, exchangeFinished) {
		if e.state.Load() == exchangeAborted {
			e.connection.discard() // waits until Abort has closed it
		}
		return
	}
	notCancelled := e.detachContext == nil || e.detachContext()
	ttl := e.idleTTL()
	switch {
	case notCancelled && ttl > 0 && e.liftDeadline():
		e.connection.pool.putIdle(e.connection, ttl)
	case e.bodyDone:
		e.connection.discard()
	default:
		e.connection.abort()
	}
	e.reader.Reset(nil)
	responseReaders.Put(e.reader)
}

// Abort ends the exchange and aborts its connection at once. The reader isn't kept: a Read may be running.
func (e *Exchange) Abort() {
	if !e.state.CompareAndSwap(exchangeRunning, exchangeAborted) {
		return
	}
	if e.detachContext != nil {
		e.detachContext()
	}
	e.connection.abort()
}

// liftDeadline makes the connection fit for the next exchange.
func (e *Exchange) liftDeadline() bool {
	return !e.hasReadDeadline || e.SetReadDeadline(time.Time{}) == nil
}
