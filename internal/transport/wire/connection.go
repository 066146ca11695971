package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds the writing of a response, and of a call whose context has no deadline.
const writeTimeout = 5 * time.Second

// connection is a caller's open connection to one address. Many calls may be under way on it.
//
// Each call under way has a channel in pending, which exactly one of three takes out: readLoop with the response, forget
// when the caller gives up, or close. So a call gets one response at most, a channel is closed once at most, and a
// response that finds no channel is late and is dropped.
type connection struct {
	conn     net.Conn
	lastUsed time.Time // when a call last asked for the connection; guarded by the Caller's mu

	mu      sync.Mutex // guards lastID and pending, and is held while a call is written
	lastID  uint64     // of the calls so far; none is used twice
	pending map[uint64]chan Frame

	closed                atomic.Bool // set under mu; read without it, since a slow write may hold it
	peerAcceptsCompressed atomic.Bool // the peer's last response said so
}

// idle reports whether no call is under way.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// close closes the connection and ends the calls under way without a response. Further calls of it do nothing.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Swap(true) {
		return
	}
	_ = c.conn.Close() // whatever failed, nothing more is sent or read
	for _, responses := range c.pending {
		close(responses)
	}
	c.pending = nil
}

// send gives the call its ID and writes it. The channel gets its response, or is closed with the connection. The error
// is ErrUnsent where the connection was closed already; after any other one some bytes may have left.
func (c *connection) send(ctx context.Context, call *Frame) (<-chan Frame, error) {
	responses := make(chan Frame, 1) // readLoop must not wait for a caller that gave up
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
	_ = c.conn.SetWriteDeadline(deadline) // it fails on a closed connection only, and so does the write
	err := writeFrame(c.conn, call)
	c.mu.Unlock()
	if err != nil {
		c.close() // half a frame may have left: nothing can follow it
		return nil, err
	}
	traffic.forKind(call.Kind).callsSent.add(call.wireBytes)
	return responses, nil
}

// forget gives a call up: its response is dropped.
func (c *connection) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// readLoop hands each response to its call, until the connection fails or is closed. It runs once, in a goroutine that
// the Caller starts with the connection and that ends with it.
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
