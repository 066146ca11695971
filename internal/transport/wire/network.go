package wire

import (
	"context"
	"net"
	"time"

	"yarrowridge/internal/transport/tcp"
)

// unacknowledgedTimeout is how long bytes may stay unacknowledged before TCP gives a connection up. A machine that lost
// power knows nothing of its connections once it is back, and says so only to the next byte: TCP retransmits at
// intervals that double, so that a peer back after 1.7 s would be reached 3 s after the first lost byte.
const unacknowledgedTimeout = time.Second

// tcpDialTimeout bounds a dial of TCP whose context has no earlier deadline.
const tcpDialTimeout = 2 * time.Second

// Network dials and listens. The daemons use TCP; the simulated fleet uses memory. Both methods may be called
// concurrently; Dial blocks until the connection is open, it failed or ctx ended.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the Network of the daemons.
type TCP struct {
	LocalIP string // the IP address to dial from; empty: the system's choice
}

// Dial opens a connection within two seconds. The connection fails once a byte of it was not acknowledged for a second.
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := NewDialer(t.LocalIP, tcpDialTimeout)
	dialer.Control = tcp.UserTimeoutControl(unacknowledgedTimeout)
	return dialer.DialContext(ctx, "tcp", addr)
}

// NewDialer returns a dialer with a time-out that dials from localIP, or from an address of the system's choice where
// localIP is empty.
func NewDialer(localIP string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// Listen binds addr.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
