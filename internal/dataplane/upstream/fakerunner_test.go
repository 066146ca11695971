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

// runner is a scripted peer: a listener whose accepted connections the test plays by hand.
type runner struct {
	t        *testing.T
	listener net.Listener
	accepted chan *served
}

// served is the runner's end of one connection.
type served struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func newRunner(t *testing.T) *runner {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{t, listener, make(chan *served, 100)}
	var all []*served
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			one := &served{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
			all = append(all, one)
			r.accepted <- one
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		done.Wait()
		for _, one := range all {
			_ = one.Close()
		}
	})
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) accept() *served {
	r.t.Helper()
	select {
	case one := <-r.accepted:
		_ = one.SetDeadline(time.Now().Add(await))
		return one
	case <-time.After(await):
		r.t.Fatal("no connection came")
		return nil
	}
}

// request reads one request whole.
func (s *served) request() (*http.Request, string) {
	s.t.Helper()
	request, err := http.ReadRequest(s.reader)
	if err != nil {
		s.t.Fatalf("runner reads the request: %v", err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		s.t.Fatalf("runner reads the body: %v", err)
	}
	return request, string(body)
}

func (s *served) say(text string) {
	s.t.Helper()
	if _, err := io.WriteString(s.TCPConn, text); err != nil {
		s.t.Fatalf("runner writes: %v", err)
	}
}

// reset closes the connection with RST.
func (s *served) reset() {
	_ = s.SetLinger(0)
	_ = s.Close()
}

func newPool(t *testing.T, options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = await
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

// exchangeCompletely runs one whole exchange and gives the runner's end of the connection.
func exchangeCompletely(t *testing.T, p *Pool, r *runner, on *served, response string) *served {
	t.Helper()
	e := send(t, p, r.address(), get)
	if on == nil {
		on = r.accept()
	}
	on.request()
	on.say(response)
	readResponse(t, e)
	e.Finish()
	return on
}

func wantStats(t *testing.T, p *Pool, dials, reuses uint64) {
	t.Helper()
	if got, want := p.Stats(), (Stats{dials, reuses}); got != want {
		t.Fatalf("stats: %+v, want %+v", got, want)
	}
}

func wantFailure(t *testing.T, err error, sent bool, step Step, cause error) {
	t.Helper()
	var failed *SendError
	if !errors.As(err, &failed) {
		t.Fatalf("%v is no SendError", err)
	}
	if failed.Sent != sent || failed.Step != step {
		t.Fatalf("%v: sent %v at %q, want %v at %q", err, failed.Sent, failed.Step, sent, step)
	}
	if cause != nil && !errors.Is(err, cause) {
		t.Fatalf("%v is not caused by %v", err, cause)
	}
}

// openCount is how many connections the pool counts at an address.
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

// waitUnclean waits until what the runner did to an idle connection has arrived.
func waitUnclean(t *testing.T, c *connection) {
	t.Helper()
	look := newSocketProbe(c.Conn)
	_ = c.SetReadDeadline(time.Now().Add(await))
	err := look.raw.Read(func(descriptor uintptr) bool {
		look.peek(descriptor)
		return look.peekErr != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

// pipeRunner dials runners that response each request in the same way.
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

// brokenConn fails to write after some bytes.
type brokenConn struct {
	net.Conn
	written int
}

func (b brokenConn) Write([]byte) (int, error) { return b.written, io.ErrClosedPipe }

func (b brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

func (b brokenConn) Close() error { return nil }

func (b brokenConn) SetReadDeadline(time.Time) error { return nil }

func (b brokenConn) SetWriteDeadline(time.Time) error { return nil }

func responseOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func isMine(_ int, header http.Header) bool { return header.Get("X-Id") == "mine" }

// deadlineConn remembers the read deadline.
type deadlineConn struct {
	*net.TCPConn
	at time.Time
}

func (d *deadlineConn) SetReadDeadline(at time.Time) error {
	d.at = at
	return d.TCPConn.SetReadDeadline(at)
}

// script is a connection whose response is written beforehand.
type script struct {
	brokenConn
	response io.Reader
}

func (s script) Write(b []byte) (int, error) { return len(b), nil }

func (s script) Read(b []byte) (int, error) { return s.response.Read(b) }

// respondAlways responses requests that come one at a time, without allocating.
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

// await bounds what a test waits for; it is met only by a test that fails.
const await = 10 * time.Second

var get = Request{Method: "GET", Target: "/a?b=c", Host: "example.org"}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
