package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fakeRunner is a runner whose end of each connection is scripted by the test.
type fakeRunner struct {
	t        *testing.T
	listener net.Listener
	accepted chan *runnerConn
}

// runnerConn is the runner's end of a connection.
type runnerConn struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func newFakeRunner(t *testing.T) *fakeRunner {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fakeRunner{t, listener, make(chan *runnerConn, 100)}
	var all []*runnerConn
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			runnerEnd := &runnerConn{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
			all = append(all, runnerEnd)
			r.accepted <- runnerEnd
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		done.Wait()
		for _, conn := range all {
			_ = conn.Close()
		}
	})
	return r
}

func (r *fakeRunner) address() string { return r.listener.Addr().String() }

func (r *fakeRunner) accept() *runnerConn {
	r.t.Helper()
	select {
	case conn := <-r.accepted:
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		return conn
	case <-time.After(testTimeout):
		r.t.Fatal("no connection was accepted in time")
		return nil
	}
}

// readRequest reads a complete request and returns it with its body.
func (s *runnerConn) readRequest() (*http.Request, string) {
	s.t.Helper()
	request, err := http.ReadRequest(s.reader)
	if err != nil {
		s.t.Fatalf("runner failed to read the request: %v", err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		s.t.Fatalf("runner failed to read the request body: %v", err)
	}
	return request, string(body)
}

func (s *runnerConn) writeString(text string) {
	s.t.Helper()
	if _, err := io.WriteString(s.TCPConn, text); err != nil {
		s.t.Fatalf("runner failed to write: %v", err)
	}
}

// reset closes the connection with a TCP reset.
func (s *runnerConn) reset() {
	_ = s.SetLinger(0)
	_ = s.Close()
}

func newPool(t *testing.T, options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = testTimeout
	}
	p := New(options)
	t.Cleanup(p.Close)
	return p
}

func send(t *testing.T, p *Pool, address string, request Request) *Exchange {
	t.Helper()
	e, err := p.Send(t.Context(), address, request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Abort)
	return e
}

func readResponse(t *testing.T, e *Exchange) (Head, string) {
	t.Helper()
	head, err := e.ReadHead(nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(e.Body)
	if err != nil {
		t.Fatal(err)
	}
	return head, string(body)
}

// runExchange runs a complete exchange, on a new connection if conn is nil, and returns the runner's end of the connection.
func runExchange(t *testing.T, p *Pool, r *fakeRunner, conn *runnerConn, response string) *runnerConn {
	t.Helper()
	e := send(t, p, r.address(), getRequest)
	if conn == nil {
		conn = r.accept()
	}
	conn.readRequest()
	conn.writeString(response)
	readResponse(t, e)
	e.Finish()
	return conn
}

func wantStats(t *testing.T, p *Pool, dials, reuses uint64) {
	t.Helper()
	if got, want := p.Stats(), (Stats{dials, reuses}); got != want {
		t.Fatalf("stats: %+v, want %+v", got, want)
	}
}

func wantSendError(t *testing.T, err error, sent bool, step Step, cause error) {
	t.Helper()
	var failed *SendError
	if !errors.As(err, &failed) {
		t.Fatalf("%v is not a SendError", err)
	}
	if failed.Sent != sent || failed.Step != step {
		t.Fatalf("%v: sent %v in step %q, want %v in step %q", err, failed.Sent, failed.Step, sent, step)
	}
	if cause != nil && !errors.Is(err, cause) {
		t.Fatalf("%v does not wrap %v", err, cause)
	}
}

// openCount returns the number of connections to an address that the pool counts as open.
func openCount(p *Pool, address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if peer := p.peers[address]; peer != nil {
		return peer.open
	}
	return 0
}

func idleConnection(t *testing.T, p *Pool, address string) *connection {
	t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.peers[address] == nil || len(p.peers[address].idle) == 0 {
		t.Fatal("no idle connection")
	}
	idle := p.peers[address].idle
	return idle[len(idle)-1]
}

// waitUntilUnusable waits until data or the end of the connection has arrived from the runner on an idle connection.
func waitUntilUnusable(t *testing.T, c *connection) {
	t.Helper()
	probe := newSocketProbe(c.Conn)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	err := probe.raw.Read(func(descriptor uintptr) bool {
		probe.peek(descriptor)
		return probe.peekErr != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

// pipeRunner returns a Dial function for in-memory connections to a runner that answers each request with response.
func pipeRunner(response string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			for reader := bufio.NewReader(far); ; {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(far, response); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
}

// brokenConn is a connection whose writes fail after the given number of bytes.
type brokenConn struct {
	net.Conn
	written int
}

func (b brokenConn) Write([]byte) (int, error) { return b.written, io.ErrClosedPipe }

func (b brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

func (b brokenConn) Close() error { return nil }

func (b brokenConn) SetReadDeadline(time.Time) error { return nil }

func (b brokenConn) SetWriteDeadline(time.Time) error { return nil }

func responseWithID(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func isExpectedResponse(_ int, header http.Header) bool { return header.Get("X-Id") == "mine" }

// deadlineConn records the read deadline that was set last.
type deadlineConn struct {
	*net.TCPConn
	readDeadline time.Time
}

func (d *deadlineConn) SetReadDeadline(at time.Time) error {
	d.readDeadline = at
	return d.TCPConn.SetReadDeadline(at)
}

// scriptedConn is a connection that accepts any request and then delivers a fixed response.
type scriptedConn struct {
	brokenConn
	response io.Reader
}

func (s scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

func (s scriptedConn) Read(b []byte) (int, error) { return s.response.Read(b) }

// respondAlways answers each read on one connection with response, without allocating.
func respondAlways(listener net.Listener, response []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// testTimeout limits each wait in a test. Only a failing test reaches it.
const testTimeout = 10 * time.Second

var getRequest = Request{Method: "GET", Target: "/a?b=c", Host: "example.org"}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
