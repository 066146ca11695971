package wire

import (
	"context"
	"net"
	"time"

	"yarrowridge/internal/transport/tcp"
)

// unacknowledgedTimeout is the time after which TCP fails a connection with unacknowledged bytes. A machine that lost
// power resets its old connections only when the next segment arrives after its restart. TCP doubles the interval between
// retransmissions, so a peer that is back after 1.7 s would be reached only 3 s after the first lost byte.
const unacknowledgedTimeout = time.Second

// tcpDialTimeout bounds a TCP dial whose context has no earlier deadline.
const tcpDialTimeout = 2 * time.Second

// Network dials and listens. The daemons use TCP; the simulated fleet uses an in-memory network. Implementations are safe
// for concurrent use. Dial blocks until the connection is established, the dial fails or ctx is done.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the Network of the daemons.
type TCP struct {
	LocalIP string // the source address of dials; if empty, the system chooses
}

// Dial opens a connection within tcpDialTimeout. The connection fails if sent bytes stay unacknowledged for
// unacknowledgedTimeout.
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := NewDialer(t.LocalIP, tcpDialTimeout)
	dialer.Control = tcp.UserTimeoutControl(unacknowledgedTimeout)
	return dialer.DialContext(ctx, "tcp", addr)
}

// NewDialer returns a dialer with the given timeout and source address. If localIP is not an IP address, such as an empty
// string, the system chooses the source address.
func NewDialer(localIP string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// Listen listens on addr.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
