package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds the write of a response, and of a call whose context has no deadline.
const writeTimeout = 5 * time.Second

// connection is a Caller's connection to one address. It carries many concurrent calls.
//
// Each pending call has a channel in the map pending. Exactly one of three functions removes it: readLoop when the
// response arrives, abandon when the call's context is done, or close. So each call receives at most one response, each
// channel is closed at most once, and a response without a channel is late and is dropped.
type connection struct {
	conn     net.Conn
	lastUsed time.Time // when a call last obtained the connection; guarded by the Caller's mu

	mu      sync.Mutex // guards lastID and pending, and is held while a call is written
	lastID  uint64     // the ID of the latest call; IDs are never reused
	pending map[uint64]chan Frame

	closed                atomic.Bool // set under mu; read without it, because a slow write may hold mu
	peerAcceptsCompressed atomic.Bool // as announced in the peer's latest response
}

// idle reports whether there is no pending call.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// close closes the connection and ends its pending calls without a response. It is idempotent.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Swap(true) {
		return
	}
	_ = c.conn.Close() // an error does not matter: nothing more is sent or read
	for _, responses := range c.pending {
		close(responses)
	}
	c.pending = nil
}

// send assigns the call its ID and writes it. The returned channel receives the response, or is closed if the connection
// closes. The error is ErrUnsent if the connection was already closed; after any other error some bytes may have been
// sent.
func (c *connection) send(ctx context.Context, call *Frame) (<-chan Frame, error) {
	responses := make(chan Frame, 1) // readLoop must not block on an abandoned call
	c.mu.Lock()
	if c.closed.Load() {
		c.mu.Unlock()
		return nil, ErrUnsent
	}
	c.lastID++
	call.ID = c.lastID
	c.pending[call.ID] = responses
	deadline, ok := ctx.Deadline()
	if ok {
		call.setTimeout(time.Until(deadline))
	} else {
		deadline = time.Now().Add(writeTimeout)
	}
	_ = c.conn.SetWriteDeadline(deadline) // fails only on a closed connection, on which the write fails too
	err := writeFrame(c.conn, call)
	c.mu.Unlock()
	if err != nil {
		c.close() // a partial frame may have been sent, so no other can follow
		return nil, err
	}
	traffic.forKind(call.Kind).callsSent.add(call.wireBytes)
	return responses, nil
}

// abandon removes a pending call; its response is dropped if it still arrives.
func (c *connection) abandon(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// readLoop delivers each response to its call until the connection fails or is closed. The Caller runs it in one
// goroutine per connection.
func (c *connection) readLoop() {
	for {
		var response Frame
		if readFrame(c.conn, &response) != nil {
			c.close()
			return
		}
		traffic.forKind(response.Kind).responsesReceived.add(response.wireBytes)
		c.peerAcceptsCompressed.Store(response.AcceptsCompressed)
		c.mu.Lock()
		responses := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if responses != nil {
			responses <- response
		}
	}
}
