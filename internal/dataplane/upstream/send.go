package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// writeStallTimeout is how long the write of a large request may block before Send checks for an early response.
	writeStallTimeout = 100 * time.Millisecond
	// earlyResponseTimeout is how long Send waits for the first byte of a response after writing the request failed.
	earlyResponseTimeout = 50 * time.Millisecond
	// earlyResponseReadTimeout is how long reading the complete early response may take.
	earlyResponseReadTimeout = 500 * time.Millisecond
)

// errEarlyResponse stops writing a request that the runner has answered without reading all of it.
var errEarlyResponse = errors.New("the runner answered before it read the complete request")

// Send writes a request to a runner on the most recently used idle connection that is still usable, or on a new one. When
// ctx ends, the connection is aborted. Send retries on another connection only if the previous one was an idle connection that
// accepted no byte. Errors are of type *SendError.
func (p *Pool) Send(ctx context.Context, address string, request Request) (*Exchange, error) {
	buffer := requestBuffers.Get().(*[]byte)
	defer putBuffer(buffer)
	head, rest, err := request.append((*buffer)[:0])
	if err != nil {
		return nil, &SendError{Step: StepEncode, Address: address, Err: err}
	}
	*buffer = head
	for {
		if ctx.Err() != nil {
			return nil, &SendError{Step: StepConnect, Address: address, Err: context.Cause(ctx)}
		}
		connection, reused, err := p.acquire(ctx, address)
		if err != nil {
			return nil, &SendError{Step: StepConnect, Address: address, Err: err}
		}
		exchange := newExchange(ctx, connection, request.Method, reused)
		sent, err := exchange.write(head, rest)
		if err == nil {
			return exchange, nil
		}
		exchange.Abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		} else if reused && !sent {
			continue // the runner closed the idle connection before any byte was written
		}
		return nil, &SendError{Sent: sent, Step: StepWrite, Address: address, Err: err}
	}
}

// newExchange starts an exchange on a connection that no other exchange uses.
func newExchange(ctx context.Context, connection *connection, method string, reused bool) *Exchange {
	reader := responseReaders.Get().(*bufio.Reader)
	reader.Reset(connection)
	e := &Exchange{ctx: ctx, connection: connection, reader: reader, method: method, reused: reused}
	if ctx.Done() != nil {
		e.detachContext = context.AfterFunc(ctx, connection.abortFunc)
	}
	return e
}

// write writes the request. An incomplete write is not an error if the runner has responded. sent reports whether any byte
// was written.
func (e *Exchange) write(head, rest []byte) (sent bool, err error) {
	var count int64
	if rest == nil {
		var n int
		n, err = e.connection.Write(head)
		count = int64(n)
	} else {
		count, err = e.connection.writeLarge(head, rest)
	}
	if err == nil {
		return true, nil
	}
	if count > 0 && e.hasEarlyResponse() {
		return true, nil
	}
	return count > 0, eris.Wrapf(err, "%d bytes of the request written", count)
}

// writeLarge writes a head and a body. Whenever the write stalls, it checks whether the runner has already responded.
func (c *connection) writeLarge(head, rest []byte) (written int64, err error) {
	buffers := net.Buffers{head, rest}
	for {
		if err = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
			return written, err
		}
		n, err := buffers.WriteTo(c.Conn)
		written += n
		if err == nil {
			return written, c.SetWriteDeadline(time.Time{})
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if c.probe != nil && c.probe.hasData() {
			return written, errEarlyResponse
		}
	}
}

// hasEarlyResponse reports whether the runner has responded to a request that could not be written completely.
func (e *Exchange) hasEarlyResponse() bool {
	e.notReusable = true
	if e.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		return false
	}
	if _, err := e.reader.Peek(1); err != nil {
		return false
	}
	return e.SetReadDeadline(time.Now().Add(earlyResponseReadTimeout)) == nil
}
