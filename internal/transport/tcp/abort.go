package tcp

import "net"

// lingerSetter is a connection with the SO_LINGER option, which sets what Close does with unacknowledged bytes.
// *net.TCPConn implements it.
type lingerSetter interface {
	SetLinger(seconds int) error
}

// AbortOnClose makes Close abort the connection with a reset (RFC 9293, section 3.10.5) instead of closing it in order:
// bytes that the peer has not acknowledged are discarded and not retransmitted. After an orderly close the kernel continues
// to send them, so a peer behind a network partition would receive them once the partition heals. Segments already in
// transit may still arrive.
//
// AbortOnClose does nothing for a connection without the option, such as a pipe. It fails only on a closed connection.
func AbortOnClose(conn net.Conn) error {
	if conn, ok := conn.(lingerSetter); ok {
		return conn.SetLinger(0)
	}
	return nil
}
