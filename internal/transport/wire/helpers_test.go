package wire

import (
	"context"
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

// pipeNetwork dials in-memory connections, which handler serves.
type pipeNetwork struct{ handler Handler }

func (p pipeNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	go serveConnection(context.WithoutCancel(ctx), server, p.handler)
	return client, nil
}

func (pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// newCaller returns a Caller that is closed when the test ends.
func newCaller(t *testing.T, network Network) *Caller {
	t.Helper()
	caller := NewCaller(network)
	t.Cleanup(caller.Close)
	return caller
}

// closeQuietly closes c and ignores the error, because a test may have closed it already.
func closeQuietly(c io.Closer) { _ = c.Close() }
