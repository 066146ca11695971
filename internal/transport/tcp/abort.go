package tcp

import "net"

// lingerer is a connection that can be told what its Close does with bytes that the peer has not acknowledged
// (SO_LINGER). *net.TCPConn is one.
type lingerer interface {
	SetLinger(seconds int) error
}

// AbortOnClose has Close abort the connection by a reset (RFC 9293, 3.10.5) rather than close it in order: bytes that the
// peer has not acknowledged are discarded and never retransmitted. After an orderly close the system goes on sending them,
// so that a peer behind a network partition receives them when it heals. What is under way in the network may still arrive.
//
// A connection without the option, as a pipe, closes as it always does. The only error is that of a closed connection.
func AbortOnClose(conn net.Conn) error {
	if conn, ok := conn.(lingerer); ok {
		return conn.SetLinger(0)
	}
	return nil
}
