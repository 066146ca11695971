//go:build !next

// With the build tag next, frames contain the number of the next format, so the recorded bytes differ.

package compat

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// The bytes of small, large and rejected calls and of their responses equal those of older processes, byte for byte, so that
// processes of both versions can read each other's frames.
func TestFramesKeepTheirEncoding(t *testing.T) {
	requests, responses := recordCalls(t)
	for name, got := range map[string][]byte{"requests": requests, "responses": responses} {
		if want := readHex(t, "testdata/frames/"+name+".hex"); !bytes.Equal(got, want) {
			t.Errorf("bytes of the %s: got\n%q\nwant\n%q", name, got, want)
		}
	}
}

// recordCalls makes calls through a pipe and returns the bytes sent in each direction. The first echo request is too small to
// be compressed; its response announces that the server accepts compressed bodies, so both large requests are compressed.
func recordCalls(t *testing.T) (requests, responses []byte) {
	t.Helper()
	near, far := net.Pipe()
	caller := &recordingConn{Conn: near}
	server := &recordingConn{Conn: far}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go wire.Serve(ctx, &oneConnListener{conn: server, ctx: ctx}, handle)
	calls := wire.NewCaller(pipeNet{caller})
	defer calls.Close()
	for _, size := range []int{5, 6000, 6000} {
		request, response := coreapi.StoredConfig{Version: 7, Raw: bytes.Repeat([]byte("x"), size)}, coreapi.StoredConfig{}
		if err := calls.Call(ctx, "far", "test.echo", &request, &response); err != nil || !bytes.Equal(response.Raw, request.Raw) {
			t.Fatalf("echo of %d bytes: got a response of %d bytes, error %v, want the same bytes", size, len(response.Raw), err)
		}
	}
	if err := calls.Call(ctx, "far", "test.refuse", &coreapi.Empty{}, nil); !wire.HasCode(err, "no-such-test") {
		t.Fatalf("rejected call: got error %v, want code no-such-test", err)
	}
	return caller.written(), server.written()
}

// handle echoes a configuration, and rejects calls of kinds that end in .refuse.
func handle(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if strings.HasSuffix(kind, ".refuse") {
		return nil, wire.StatusError{Code: "no-such-test"}
	}
	return wire.HandleTyped(body, func(config *coreapi.StoredConfig) (*coreapi.StoredConfig, error) { return config, nil })
}

// recordingConn records the bytes written to a connection.
type recordingConn struct {
	net.Conn
	mu    sync.Mutex // guards bytes
	bytes []byte
}

// Write records the data and writes it.
func (c *recordingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.bytes = append(c.bytes, data...)
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// written returns a copy of the bytes written so far.
func (c *recordingConn) written() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.bytes)
}

// pipeNet is a wire.Network whose Dial always returns the same connection.
type pipeNet struct{ conn net.Conn }

// Dial returns the connection.
func (n pipeNet) Dial(context.Context, string) (net.Conn, error) { return n.conn, nil }

// Listen is not used by the test; it always fails.
func (pipeNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// oneConnListener accepts a single connection. Further calls of Accept block until the context ends.
type oneConnListener struct {
	conn net.Conn
	ctx  context.Context
	once sync.Once
}

// Accept returns the connection to the first caller.
func (l *oneConnListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { conn = l.conn })
	if conn != nil {
		return conn, nil
	}
	<-l.ctx.Done()
	return nil, net.ErrClosed
}

// Close does nothing: the connection is closed when the context ends.
func (*oneConnListener) Close() error { return nil }

// Addr returns the local address of the connection.
func (l *oneConnListener) Addr() net.Addr { return l.conn.LocalAddr() }
