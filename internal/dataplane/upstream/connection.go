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
	// tcpUserTimeout is how long bytes may stay without an acknowledgement before TCP gives up.
	tcpUserTimeout = 10 * time.Second
)

// pastDeadline is a deadline that has passed, on the clock of whoever asks: in simulated time that is not the one
// that the process began with.
func pastDeadline() time.Time { return time.Now().Add(-time.Second) }

var responseReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// connection is one TCP connection to a runner. At most one exchange uses it at a time.
type connection struct {
	net.Conn
	pool          *Pool
	peer          *peer
	generation    int
	expires       time.Time // when idle: not to be used from here on
	closeOnce     sync.Once
	probe         *socketProbe // nil: the connection is not a socket
	closeOnCancel func()       // aborts it; made once, since each exchange needs it

	headBytesLeft int   // bytes that may still be read of a head; noHeadBound outside a head
	readErr       error // what the last failed read returned
}

const noHeadBound = -1

// newConnection wraps what was dialled. pool, peer and generation tell where it is counted.
func newConnection(conn net.Conn, pool *Pool, peer *peer, generation int) *connection {
	c := &connection{Conn: conn, pool: pool, peer: peer, generation: generation, probe: newSocketProbe(conn), headBytesLeft: noHeadBound}
	c.closeOnCancel = c.abort
	return c
}

// Read reads from the network, and of a head not more than its limit.
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

// Close closes the connection once, and counts it as closed in the pool. When it returns, both are done,
// whoever began it.
func (c *connection) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.releaseSlot(c.peer)
	})
	return err
}

// discard closes a connection that is not used any more: an error in closing it would change nothing.
func (c *connection) discard() { _ = c.Close() }

// abort discards a connection together with what the runner has not acknowledged of a request that was given up. A network
// partition may hold the request back: closed in order, the connection would deliver it when the partition heals, and the
// runner would work on it for nobody, above its tenant's quota.
func (c *connection) abort() {
	_ = tcp.AbortOnClose(c.Conn) // it fails on a closed connection only
	c.discard()
}

// isUsable reports, without waiting, that the runner has neither closed the idle connection nor sent anything on it.
func (c *connection) isUsable() bool {
	if c.probe != nil {
		return c.probe.isIdle()
	}
	// No socket: with a deadline that has passed, a pipe still says that its other end is closed.
	if c.SetReadDeadline(pastDeadline()) != nil {
		return false
	}
	n, err := c.Conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return n == 0 && ok && timeout.Timeout() && c.SetReadDeadline(time.Time{}) == nil
}
