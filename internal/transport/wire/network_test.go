package wire

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A machine that loses power does not reset its connections, and TCP doubles the interval between retransmissions: a peer
// that is back after 1.7 s would be reached only 3 s after the first lost byte. TCP_USER_TIMEOUT fails the connection
// sooner.
func TestDialSetsUserTimeout(t *testing.T) {
	listener := listen(t)
	conn, err := TCP{LocalIP: "127.0.0.1"}.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var userTimeoutMs int
	if err := raw.Control(func(descriptor uintptr) {
		userTimeoutMs, err = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if limit := time.Second; userTimeoutMs <= 0 || userTimeoutMs > int(limit.Milliseconds()) {
		t.Errorf("got TCP_USER_TIMEOUT %d ms, want above 0 and at most %s", userTimeoutMs, limit)
	}
}
