//go:build !next

// A build one format up writes another number into its frames.

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

// A dialogue of calls and answers, small, large and refused, is byte for byte the one that older processes had: both
// sides still read what the other wrote then.
func TestFramesKeepTheirEncoding(t *testing.T) {
	requests, responses := recordDialogue(t)
	for name, got := range map[string][]byte{"requests": requests, "responses": responses} {
		if old := readHex(t, "testdata/frames/"+name+".hex"); !bytes.Equal(got, old) {
			t.Errorf("%s: written as\n%q\nexpected\n%q", name, got, old)
		}
	}
}

// recordDialogue makes calls through a pipe and gives the bytes that went each way. The second large request is
// compressed, since the first answer has told that the server reads it; the small one and the first large one are not.
func recordDialogue(t *testing.T) (requests, responses []byte) {
	t.Helper()
	near, far := net.Pipe()
	caller := &recordingConn{Conn: near}
	server := &recordingConn{Conn: far}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go wire.Serve(ctx, &oneConnListener{conn: server, ctx: ctx}, answer)
	calls := wire.NewCaller(pipeNet{caller})
	defer calls.Close()
	for _, size := range []int{5, 6000, 6000} {
		request, response := coreapi.StoredConfig{Version: 7, Raw: bytes.Repeat([]byte("x"), size)}, coreapi.StoredConfig{}
		if err := calls.Call(ctx, "far", "test.echo", &request, &response); err != nil || !bytes.Equal(response.Raw, request.Raw) {
			t.Fatalf("echo of %d bytes: %d came back, error %v", size, len(response.Raw), err)
		}
	}
	if err := calls.Call(ctx, "far", "test.refuse", &coreapi.Empty{}, nil); !wire.HasCode(err, "no-such-test") {
		t.Fatalf("refused call ended with %v", err)
	}
	return caller.written(), server.written()
}

// answer echoes a configuration, or refuses.
func answer(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if strings.HasSuffix(kind, ".refuse") {
		return nil, wire.StatusError{Code: "no-such-test"}
	}
	return wire.HandleTyped(body, func(config *coreapi.StoredConfig) (*coreapi.StoredConfig, error) { return config, nil })
}

// recordingConn keeps what is written to a connection.
type recordingConn struct {
	net.Conn
	mu    sync.Mutex
	bytes []byte
}

// Write keeps the data and writes it.
func (c *recordingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.bytes = append(c.bytes, data...)
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// written gives what was written so far.
func (c *recordingConn) written() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.bytes)
}

// pipeNet dials its one connection.
type pipeNet struct{ conn net.Conn }

// Dial gives the connection.
func (n pipeNet) Dial(context.Context, string) (net.Conn, error) { return n.conn, nil }

// Listen is not needed.
func (pipeNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// oneConnListener accepts its one connection, and then none until the context ends.
type oneConnListener struct {
	conn net.Conn
	ctx  context.Context
	once sync.Once
}

// Accept gives the connection to the first caller.
func (l *oneConnListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { conn = l.conn })
	if conn != nil {
		return conn, nil
	}
	<-l.ctx.Done()
	return nil, net.ErrClosed
}

// Close is not needed: the end of the context closes the connection.
func (*oneConnListener) Close() error { return nil }

// Addr is the pipe's.
func (l *oneConnListener) Addr() net.Addr { return l.conn.LocalAddr() }
