package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/transport/tcp"
)

const (
	readBufferBytes = 4 << 10
	// unacknowledgedLimit is how long bytes may stay without an acknowledgement before TCP gives up.
	unacknowledgedLimit = 10 * time.Second
)

// longAgo is a deadline that has passed, on the clock of whoever asks: in simulated time that is not the one
// that the process began with.
func longAgo() time.Time { return time.Now().Add(-time.Second) }

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// connection is one TCP connection to a runner. At most one exchange uses it at a time.
type connection struct {
	net.Conn
	pool       *Pool
	peer       *peer
	generation int
	expires    time.Time // when idle: not to be used from here on
	closing    sync.Once
	probe      *probe // nil: the connection is not a socket
	cancel     func() // closes it; made once, since each exchange needs it

	headLeft int   // bytes that may still be read of a head; noHeadLimit outside a head
	readErr  error // what the last failed read returned
}

const noHeadLimit = -1

// newConnection wraps what was dialled. pool, peer and generation tell where it is counted.
func newConnection(conn net.Conn, pool *Pool, peer *peer, generation int) *connection {
	c := &connection{Conn: conn, pool: pool, peer: peer, generation: generation, probe: newProbe(conn), headLeft: noHeadLimit}
	c.cancel = func() { c.Close() }
	return c
}

// Read reads from the network, and of a head not more than its limit.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headLeft == 0 {
		c.readErr = ErrHeadTooLarge
		return 0, ErrHeadTooLarge
	}
	if c.headLeft > 0 && len(buffer) > c.headLeft {
		buffer = buffer[:c.headLeft]
	}
	n, err := c.Conn.Read(buffer)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Close closes the connection once, and gives its place in the pool free. When it returns, both are done,
// whoever began it.
func (c *connection) Close() (err error) {
	c.closing.Do(func() {
		err = c.Conn.Close()
		c.pool.released(c.peer)
	})
	return err
}

// clean tells, without waiting, that the runner has neither closed the idle connection nor sent anything on it.
func (c *connection) clean() bool {
	if c.probe != nil {
		return c.probe.quiet()
	}
	// No socket: with a deadline that has passed, a pipe still tells that its other end is closed.
	if c.SetReadDeadline(longAgo()) != nil {
		return false
	}
	n, err := c.Conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return n == 0 && ok && timeout.Timeout() && c.SetReadDeadline(time.Time{}) == nil
}

// probe looks into a socket's receive buffer. It is made once for each connection, since a new closure for
// each look would be one more allocation for each exchange.
type probe struct {
	raw    syscall.RawConn
	look   func(descriptor uintptr) bool
	answer error
	count  int
	buffer [1]byte
}

// newProbe gives nil where conn is not a socket.
func newProbe(conn net.Conn) *probe {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	p := &probe{raw: raw}
	p.look = func(descriptor uintptr) bool {
		p.count, _, p.answer = syscall.Recvfrom(int(descriptor), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// quiet tells that the socket is open and nothing waits to be read.
func (p *probe) quiet() bool {
	for {
		if p.raw.Read(p.look) != nil {
			return false
		}
		if p.answer != syscall.EINTR {
			return p.answer == syscall.EAGAIN
		}
	}
}

// readable tells that bytes wait to be read.
func (p *probe) readable() bool {
	return p.raw.Read(p.look) == nil && p.answer == nil && p.count > 0
}

// dialTCP dials an IPv4 address given by number. It looks no name up.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	dialer := net.Dialer{Control: tcp.UserTimeoutControl(unacknowledgedLimit)} // TCP_NODELAY is Go's default
	return dialer.DialContext(ctx, "tcp4", address)
}
