package upstream

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/transport/tcp"
)

// dialTCP dials an IPv4 address in the form ip:port. It does not resolve host names.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	dialer := net.Dialer{Control: tcp.UserTimeoutControl(tcpUserTimeout)} // TCP_NODELAY is Go's default
	return dialer.DialContext(ctx, "tcp4", address)
}
