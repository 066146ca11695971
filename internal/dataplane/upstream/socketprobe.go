package upstream

import (
	"net"
	"syscall"
)

// socketProbe looks into a socket's receive buffer. It is made once for each connection, since a new closure for
// each look would be one more allocation for each exchange.
type socketProbe struct {
	raw     syscall.RawConn
	peek    func(descriptor uintptr) bool
	peekErr error
	peeked  int
	buffer  [1]byte
}

// newSocketProbe gives nil where conn is not a socket.
func newSocketProbe(conn net.Conn) *socketProbe {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	p := &socketProbe{raw: raw}
	p.peek = func(descriptor uintptr) bool {
		p.peeked, _, p.peekErr = syscall.Recvfrom(int(descriptor), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// isIdle reports whether the socket is open and nothing waits to be read.
func (p *socketProbe) isIdle() bool {
	for {
		if p.raw.Read(p.peek) != nil {
			return false
		}
		if p.peekErr != syscall.EINTR {
			return p.peekErr == syscall.EAGAIN
		}
	}
}

// hasData reports whether bytes wait to be read.
func (p *socketProbe) hasData() bool {
	return p.raw.Read(p.peek) == nil && p.peekErr == nil && p.peeked > 0
}
