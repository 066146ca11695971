package upstream

import (
	"net"
	"syscall"
)

// socketProbe peeks into the receive buffer of a socket. It is created once per connection, because a closure created for
// each peek would cost an allocation per exchange.
type socketProbe struct {
	raw     syscall.RawConn
	peek    func(descriptor uintptr) bool
	peekErr error
	peeked  int
	buffer  [1]byte
}

// newSocketProbe returns a probe of conn, or nil if conn is not a socket.
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

// isIdle reports whether the socket is open and has no data to read.
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

// hasData reports whether the socket has data to read.
func (p *socketProbe) hasData() bool {
	return p.raw.Read(p.peek) == nil && p.peekErr == nil && p.peeked > 0
}
