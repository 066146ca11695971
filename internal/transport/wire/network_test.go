package wire

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A machine that loses power says nothing of the connections it had, and TCP retransmits at ever longer intervals: a
// peer that is back after 1.7 s would be reached 3 s after the first lost byte. TCP_USER_TIMEOUT makes it fail sooner.
func TestUnacknowledgedBytesEndAConnection(t *testing.T) {
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
	var limit int
	if err := raw.Control(func(descriptor uintptr) {
		limit, err = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if most := time.Second; limit <= 0 || limit > int(most.Milliseconds()) {
		t.Errorf("got TCP_USER_TIMEOUT %d ms, want above 0 and at most %s", limit, most)
	}
}
