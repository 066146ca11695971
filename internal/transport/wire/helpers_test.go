package wire

import (
	"io"
	"net"
	"testing"
)

// listen returns a TCP listener of this machine that is closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// newCaller returns a Caller that is closed with the test.
func newCaller(t *testing.T, network Network) *Caller {
	t.Helper()
	caller := NewCaller(network)
	t.Cleanup(caller.Close)
	return caller
}

// closeQuietly closes what a test has no more use for and may have closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }
