package wire

import (
	"io"
	"net"
	"testing"
)

// listen returns a TCP listener on the loopback interface, which is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// newCaller returns a Caller that is closed when the test ends.
func newCaller(t *testing.T, network Network) *Caller {
	t.Helper()
	caller := NewCaller(network)
	t.Cleanup(caller.Close)
	return caller
}

// closeQuietly closes c and ignores the error, because a test may have closed it already.
func closeQuietly(c io.Closer) { _ = c.Close() }
