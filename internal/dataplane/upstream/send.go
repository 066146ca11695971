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
	// writeStallTimeout is how long a large body may wait for the runner before we look whether it has answered already.
	writeStallTimeout = 100 * time.Millisecond
	// earlyResponseTimeout is how long the first byte of a response is waited for after the request could not be written.
	earlyResponseTimeout = 50 * time.Millisecond
	// earlyResponseReadTimeout is how long reading all of such a response may take.
	earlyResponseReadTimeout = 500 * time.Millisecond
)

// errEarlyResponse ends the writing of a body that the runner does not take.
var errEarlyResponse = errors.New("the runner answered before it read the complete request")

// Send writes a request to a runner, on the most recently used idle connection that is proved clean or on a new
// one. The exchange ends with ctx: its connection is then closed. An error is a *SendError. Send writes on
// another connection only where the one before took no byte.
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
			continue // nothing has left: the runner closed the connection just now
		}
		return nil, &SendError{Sent: sent, Step: StepWrite, Address: address, Err: err}
	}
}

// newExchange begins an exchange on a connection that nobody else uses.
func newExchange(ctx context.Context, connection *connection, method string, reused bool) *Exchange {
	reader := responseReaders.Get().(*bufio.Reader)
	reader.Reset(connection)
	e := &Exchange{ctx: ctx, connection: connection, reader: reader, method: method, reused: reused}
	if ctx.Done() != nil {
		e.detachContext = context.AfterFunc(ctx, connection.closeOnCancel)
	}
	return e
}

// write sends the request. Where it cannot be sent completely, but the runner has answered, there is no error.
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

// writeLarge writes a head and a body. While the runner does not take them it looks whether a response is there.
func (c *connection) writeLarge(head, rest []byte) (written int64, err error) {
	pieces := net.Buffers{head, rest}
	for {
		if err = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
			return written, err
		}
		n, err := pieces.WriteTo(c.Conn)
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

// hasEarlyResponse reports whether a response has come to a request that could not be written completely.
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
