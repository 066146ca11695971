package upstream

import (
	"bufio"
	"net"
	"sync"
	"time"

	"yarrowridge/internal/transport/tcp"
)

const (
	readBufferBytes = 4 << 10
	// tcpUserTimeout is how long sent data may stay unacknowledged before TCP closes the connection (TCP_USER_TIMEOUT).
	tcpUserTimeout = 10 * time.Second
)

// pastDeadline returns a deadline that has already passed. It is computed on each call, because a caller in simulated time
// has a different clock from the one that the process started with.
func pastDeadline() time.Time { return time.Now().Add(-time.Second) }

var responseReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// connection is a TCP connection to a runner. At most one exchange uses it at a time.
type connection struct {
	net.Conn
	pool       *Pool
	peer       *peer
	generation int
	expires    time.Time // an idle connection is not reused from this time on
	closeOnce  sync.Once
	probe      *socketProbe // nil if the connection is not a socket
	abortFunc  func()       // the abort method as a value, allocated once rather than for each exchange

	headBytesLeft int   // bytes that may still be read of a head or trailer; noHeadLimit outside of them
	readErr       error // error of the last failed read
}

// noHeadLimit as headBytesLeft means that reads are not limited.
const noHeadLimit = -1

// newConnection wraps a dialled connection, which is counted in peer as of generation.
func newConnection(conn net.Conn, pool *Pool, peer *peer, generation int) *connection {
	c := &connection{Conn: conn, pool: pool, peer: peer, generation: generation, probe: newSocketProbe(conn), headBytesLeft: noHeadLimit}
	c.abortFunc = c.abort
	return c
}

// Read reads from the network. It fails with ErrHeadTooLarge once headBytesLeft is used up.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headBytesLeft == 0 {
		c.readErr = ErrHeadTooLarge
		return 0, ErrHeadTooLarge
	}
	if c.headBytesLeft > 0 && len(buffer) > c.headBytesLeft {
		buffer = buffer[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(buffer)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Close closes the connection and releases its slot in the pool, once. Concurrent calls return only when both are done.
func (c *connection) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.releaseSlot(c.peer)
	})
	return err
}

// discard closes a connection that is no longer needed, and ignores the error.
func (c *connection) discard() { _ = c.Close() }

// abort closes the connection with a reset and drops the request bytes that the runner has not acknowledged yet. After an
// orderly close during a network partition, TCP would still deliver the abandoned request once the partition heals, and the
// runner would process it with no client waiting and beyond the tenant's quota.
func (c *connection) abort() {
	_ = tcp.AbortOnClose(c.Conn) // fails only if the connection is closed already
	c.discard()
}

// isUsable reports, without blocking, whether the idle connection is still open and the runner has sent nothing on it.
func (c *connection) isUsable() bool {
	if c.probe != nil {
		return c.probe.isIdle()
	}
	// Not a socket, such as net.Pipe: a read past its deadline reports a closed peer rather than a timeout.
	if c.SetReadDeadline(pastDeadline()) != nil {
		return false
	}
	n, err := c.Conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return n == 0 && ok && timeout.Timeout() && c.SetReadDeadline(time.Time{}) == nil
}
