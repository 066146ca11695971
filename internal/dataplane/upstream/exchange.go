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

// States of an exchange.
const (
	exchangeRunning = iota
	exchangeFinished
	exchangeAborted
)

// Exchange is one request and its response on one connection. Only Abort is safe for concurrent use. Each exchange has to be
// ended with Finish or Abort.
type Exchange struct {
	// Body is the response body and is set by ReadHead. Reads return bytes as they arrive and io.EOF at the end of the body.
	// They return io.ErrUnexpectedEOF if the runner closes the connection within the body, and a *SendError for any other
	// failure.
	Body io.Reader

	ctx             context.Context
	detachContext   func() bool // stops ctx from aborting the connection; false if it has already
	connection      *connection
	reader          *bufio.Reader
	method          string
	reused          bool
	response        *http.Response
	bodyFramed      bool         // see Head.Framed
	bodyBytesLeft   int64        // unread bytes of a body of known length
	chunks          io.Reader    // decodes the chunks of a chunked body; nil for other bodies
	atTrailer       bool         // all chunks are read, but not the trailer
	bodyDone        bool         // the body was read to its end
	notReusable     bool         // the connection must not be reused
	hasReadDeadline bool         // a read deadline is set
	state           atomic.Int32 // exchangeRunning, exchangeFinished or exchangeAborted
}

// Reused reports whether the exchange runs on a reused connection.
func (e *Exchange) Reused() bool { return e.reused }

// SetReadDeadline sets the deadline for reads of the head and the body; the zero time means none. The response cannot be
// read any further after a read has failed with os.ErrDeadlineExceeded.
func (e *Exchange) SetReadDeadline(at time.Time) error {
	e.hasReadDeadline = !at.IsZero()
	return e.connection.SetReadDeadline(at)
}

// cause returns the reason for a failed read of the response: the end of the context, a connection error, or a malformed
// response.
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

// sendError returns a *SendError for a step after the request was written.
func (e *Exchange) sendError(step Step, err error) error {
	return &SendError{Sent: true, Step: step, Address: e.connection.peer.address, Err: err}
}

// Finish ends the exchange. The connection becomes idle if the body was read to its marked end, the runner does not close
// the connection, and no more bytes have arrived. Otherwise it is closed, or aborted if the body was not read to its end.
func (e *Exchange) Finish() {
	if !e.state.CompareAndSwap(exchangeRunning, exchangeFinished) {
		if e.state.Load() == exchangeAborted {
			e.connection.discard() // waits for a concurrent Abort to close it
		}
		return
	}
	detached := e.detachContext == nil || e.detachContext()
	ttl := e.idleTTL()
	switch {
	case detached && ttl > 0 && e.clearReadDeadline():
		e.connection.pool.putIdle(e.connection, ttl)
	case e.bodyDone:
		e.connection.discard()
	default:
		e.connection.abort()
	}
	e.reader.Reset(nil)
	responseReaders.Put(e.reader)
}

// Abort ends the exchange and aborts its connection at once. It does not return the reader to its pool, because a concurrent
// read may still use it.
func (e *Exchange) Abort() {
	if !e.state.CompareAndSwap(exchangeRunning, exchangeAborted) {
		return
	}
	if e.detachContext != nil {
		e.detachContext()
	}
	e.connection.abort()
}

// clearReadDeadline removes a read deadline, so that the connection can be reused, and reports whether it succeeded.
func (e *Exchange) clearReadDeadline() bool {
	return !e.hasReadDeadline || e.SetReadDeadline(time.Time{}) == nil
}
