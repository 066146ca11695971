package wire

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A machine that loses power says nothing of the connections it had, and TCP sends again at ever longer pauses: a
// peer that is back after 1.7 s would be reached 3 s after the first lost byte. The kernel is told to give up sooner.
func TestUnacknowledgedBytesEndAConnection(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	con, err := TCP{LocalIP: "127.0.0.1"}.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	raw, err := con.(*net.TCPConn).SyscallConn()
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
		t.Errorf("TCP_USER_TIMEOUT is %d ms, above 0 and %s at most expected", limit, most)
	}
}
