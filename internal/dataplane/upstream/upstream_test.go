package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// await bounds what a test waits for; it is met only by a test that fails.
const await = 10 * time.Second

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
		listener.Close()
		done.Wait()
		for _, one := range all {
			one.Close()
		}
	})
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) accept() *served {
	r.t.Helper()
	select {
	case one := <-r.accepted:
		one.SetDeadline(time.Now().Add(await))
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
	s.SetLinger(0)
	s.Close()
}

func newPool(t *testing.T, options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = await
	}
	p := New(options)
	t.Cleanup(p.Close)
	return p
}

var get = Request{Method: "GET", Target: "/a?b=c", Host: "example.org"}

func send(t *testing.T, p *Pool, address string, request Request) *Exchange {
	t.Helper()
	e, err := p.Send(t.Context(), address, request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Abort)
	return e
}

func readAnswer(t *testing.T, e *Exchange) (Head, string) {
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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// whole runs one whole exchange and gives the runner's end of the connection.
func whole(t *testing.T, p *Pool, r *runner, on *served, answer string) *served {
	t.Helper()
	e := send(t, p, r.address(), get)
	if on == nil {
		on = r.accept()
	}
	on.request()
	on.say(answer)
	readAnswer(t, e)
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
	look := newProbe(c.Conn)
	c.SetReadDeadline(time.Now().Add(await))
	err := look.raw.Read(func(descriptor uintptr) bool {
		look.look(descriptor)
		return look.answer != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Time{})
}

func TestRequestOnTheWire(t *testing.T) {
	r, p := newRunner(t), New(Options{})
	defer p.Close()
	large := strings.Repeat("x", smallBodyBytes+1)
	for _, body := range []string{"", "small", large} {
		header := http.Header{"X-One": {"1", "2"}, "Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=1"}, "Proxy-Authorization": {"p"},
			"Te": {"trailers"}, "Trailer": {"A"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Content-Length": {"99"}, "Host": {"other"}, "Expect": {"100-continue"}}
		e := send(t, p, r.address(), Request{Method: "POST", Target: "/a%20b?c=%2F", Host: "example.org", Header: header, Body: []byte(body)})
		on := r.accept()
		request, got := on.request()
		if got != body || request.ContentLength != int64(len(body)) || request.RequestURI != "/a%20b?c=%2F" || request.Host != "example.org" {
			t.Fatalf("%v with %d bytes", request, len(got))
		}
		delete(request.Header, "Content-Length")
		if len(request.Header) != 1 || fmt.Sprint(request.Header["X-One"]) != "[1 2]" || len(request.TransferEncoding) > 0 {
			t.Fatalf("header: %v", request.Header)
		}
		e.Abort()
	}
}

func TestBadRequestLeavesNothing(t *testing.T) {
	p := newPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("dialled") }})
	for _, bad := range []Request{
		{Method: "G T", Target: "/"}, {Method: "GET", Target: "/ HTTP/1.1\r\nX: y"}, {Method: "GET"}, {Target: "/"},
		{Method: "GET", Target: "/", Host: "a\r\nb"}, {Method: "GET", Target: "/", Header: http.Header{"A": {"b\r\nc: d"}}},
		{Method: "GET", Target: "/", Header: http.Header{"A:": {"b"}}},
	} {
		_, err := p.Send(t.Context(), "127.0.0.1:1", bad)
		wantFailure(t, err, false, StepEncode, ErrBadRequest)
	}
}

func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer, body string
		length               int64
		chunked, framed      bool
		kept                 bool
	}{
		"length":         {"GET", okAnswer, "ok", 2, false, true, true},
		"no body":        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 0, false, true, true},
		"to HEAD":        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", 9, false, true, true},
		"chunks":         {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok", -1, true, true, true},
		"trailer":        {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", "ok", -1, true, true, true},
		"informational":  {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okAnswer, "ok", 2, false, true, true},
		"close":          {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"HTTP/1.0":       {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"short-lived":    {"GET", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"leftover":       {"GET", okAnswer + "H", "ok", 2, false, true, false},
		"a second whole": {"GET", okAnswer + okAnswer, "ok", 2, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), Request{Method: test.method, Target: "/", Host: "h"})
			on := r.accept()
			on.request()
			on.say(test.answer)
			head, got := readAnswer(t, e)
			if got != test.body || head.ContentLength != test.length || head.Chunked != test.chunked || head.Framed != test.framed {
				t.Fatalf("%+v with %q", head, got)
			}
			e.Finish()
			if kept := openCount(p, r.address()) == 1; kept != test.kept {
				t.Fatalf("kept: %v", kept)
			}
			if _, err := e.Body.Read(make([]byte, 1)); !errors.Is(err, ErrExchangeOver) {
				t.Fatalf("read after Finish: %v", err)
			}
		})
	}
}

func TestUnframedAnswer(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	on := r.accept()
	on.request()
	on.say("HTTP/1.1 200 OK\r\n\r\nto the")
	head, err := e.ReadHead(nil)
	if err != nil || head.Framed || head.ContentLength != -1 {
		t.Fatalf("%+v, %v", head, err)
	}
	first := make([]byte, 6)
	if _, err := io.ReadFull(e.Body, first); err != nil || string(first) != "to the" {
		t.Fatalf("%q, %v", first, err) // delivered before the end
	}
	on.say(" end")
	on.Close()
	rest, err := io.ReadAll(e.Body)
	if err != nil || string(rest) != " end" {
		t.Fatalf("%q, %v", rest, err)
	}
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

func TestUnreadAnswerIsNotKept(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	on := r.accept()
	on.request()
	on.say(okAnswer)
	if _, err := e.ReadHead(nil); err != nil {
		t.Fatal(err)
	}
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
	if _, err := on.reader.ReadByte(); err == nil {
		t.Fatal("the runner's end is open")
	}
}

func TestStaleIdleConnection(t *testing.T) {
	for name, spoil := range map[string]func(*served){
		"closed":      func(s *served) { s.Close() },
		"half closed": func(s *served) { s.CloseWrite() },
		"reset":       func(s *served) { s.reset() },
		"extra byte":  func(s *served) { s.say("H") },
		"late answer": func(s *served) { s.say(okAnswer) },
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			on := whole(t, p, r, nil, okAnswer)
			spoil(on)
			waitUnclean(t, idleConnection(t, p, r.address()))
			whole(t, p, r, nil, okAnswer)
			wantStats(t, p, 2, 0)
			if openCount(p, r.address()) != 1 {
				t.Fatal("the stale connection is still counted")
			}
		})
	}
}

func TestStaleIdlePipe(t *testing.T) {
	ends := make(chan net.Conn, 2)
	p := newPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		ends <- far
		return near, nil
	}})
	for _, reuses := range []uint64{0, 1, 1} {
		answered := make(chan net.Conn, 1)
		go func() {
			far := <-ends
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				request.Body.Close()
				io.WriteString(far, okAnswer)
			}
			answered <- far
		}()
		e := send(t, p, "runner", get)
		readAnswer(t, e)
		e.Finish()
		far := <-answered
		if reuses == 0 {
			ends <- far
		} else {
			far.Close()
		}
	}
	wantStats(t, p, 2, 1)
}

func TestMostRecentlyUsedFirst(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	one, two := send(t, p, r.address(), get), send(t, p, r.address(), get)
	first, second := r.accept(), r.accept()
	for _, on := range []*served{first, second} {
		on.request()
		on.say(okAnswer)
	}
	byPort := map[string]*served{first.RemoteAddr().String(): first, second.RemoteAddr().String(): second}
	readAnswer(t, two)
	two.Finish()
	readAnswer(t, one)
	last := one.connection
	one.Finish()
	on := byPort[last.LocalAddr().String()]
	for range 3 {
		whole(t, p, r, on, okAnswer)
	}
	wantStats(t, p, 2, 3)
	on.Close()
	waitUnclean(t, last)
	other := first
	if on == first {
		other = second
	}
	whole(t, p, r, other, okAnswer) // the stale one is skipped, the older one is clean
	wantStats(t, p, 2, 4)
}

func TestSurplusIdleConnectionsAreClosed(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{MaxIdlePerRunner: 1})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), get))
		on := r.accept()
		on.request()
		on.say(okAnswer)
	}
	for _, e := range all {
		readAnswer(t, e)
		e.Finish()
	}
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d open", got)
	}
}

func TestBound(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	p.SetMax(r.address(), 2)
	one, two := send(t, p, r.address(), get), send(t, p, r.address(), get)
	_, err := p.Send(t.Context(), r.address(), get)
	wantFailure(t, err, false, StepConnect, ErrNoConnection)
	one.Abort()
	three := send(t, p, r.address(), get)
	p.SetMax(r.address(), 1)
	two.Abort()
	_, err = p.Send(t.Context(), r.address(), get)
	wantFailure(t, err, false, StepConnect, ErrNoConnection)
	p.SetMax(r.address(), 0)
	send(t, p, r.address(), get).Abort()
	three.Abort()
	if len(p.peers) != 0 {
		t.Fatalf("%v is still known", p.peers)
	}
}

func TestLoweredBoundClosesIdle(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), get))
		on := r.accept()
		on.request()
		on.say(okAnswer)
	}
	for _, e := range all[:2] {
		readAnswer(t, e)
		e.Finish()
	}
	p.SetMax(r.address(), 2)
	if got := openCount(p, r.address()); got != 2 {
		t.Fatalf("%d open after the bound was 2", got)
	}
	p.SetMax(r.address(), 1)
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d open after the bound was 1", got)
	}
	readAnswer(t, all[2])
	all[2].Finish()
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d open in the end", got)
	}
}

func TestLoweredBoundClosesAfterUse(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), get))
		on := r.accept()
		on.request()
		on.say(okAnswer)
	}
	p.SetMax(r.address(), 2)
	for _, e := range all {
		readAnswer(t, e)
		e.Finish()
	}
	if got := openCount(p, r.address()); got != 2 {
		t.Fatalf("%d open", got)
	}
}

func TestForget(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	used := send(t, p, r.address(), get)
	busy := r.accept()
	whole(t, p, r, nil, okAnswer)
	p.Forget(r.address())
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d open", got)
	}
	busy.request()
	busy.say(okAnswer)
	readAnswer(t, used)
	used.Finish()
	if len(p.peers) != 0 {
		t.Fatalf("%v is still known", p.peers)
	}
	whole(t, p, r, nil, okAnswer)
	wantStats(t, p, 3, 0)
}

func TestClosedPool(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	used := send(t, p, r.address(), get)
	busy := r.accept()
	p.Close()
	_, err := p.Send(t.Context(), r.address(), get)
	wantFailure(t, err, false, StepConnect, ErrClosed)
	busy.request()
	busy.say(okAnswer)
	readAnswer(t, used)
	used.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

// pipeRunner dials runners that answer each request in the same way.
func pipeRunner(answer string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for reader := bufio.NewReader(far); ; {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(far, answer); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
}

func TestIdleTimes(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		keep   time.Duration
	}{
		"ours":             {"", DefaultIdleTimeout},
		"the runner's":     {"Keep-Alive: timeout=5, max=100\r\n", 5*time.Second - keepAliveMargin},
		"ours is shorter":  {"Keep-Alive: max=3, timeout=600\r\n", DefaultIdleTimeout},
		"unreadable":       {"Keep-Alive: timeout=x\r\n", DefaultIdleTimeout},
		"the least we use": {"Keep-Alive: timeout=1\r\n", time.Second - keepAliveMargin},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Options{Dial: pipeRunner("HTTP/1.1 200 OK\r\n" + test.header + "Content-Length: 2\r\n\r\nok")})
				defer p.Close()
				run := func() {
					e := send(t, p, "runner", get)
					readAnswer(t, e)
					e.Finish()
				}
				run()
				time.Sleep(test.keep - 1) // simulated time
				run()
				wantStats(t, p, 1, 1)
				time.Sleep(test.keep)
				run()
				wantStats(t, p, 2, 1)
				time.Sleep(2*DefaultIdleTimeout + 1)
				synctest.Wait()
				if openCount(p, "runner") != 0 {
					t.Fatal("an idle connection was not closed in time")
				}
			})
		})
	}
}

func TestDialRefused(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	r.listener.Close()
	_, err := p.Send(t.Context(), r.address(), get)
	wantFailure(t, err, false, StepConnect, nil)
	if !strings.Contains(err.Error(), r.address()) {
		t.Fatalf("%v does not name the runner", err)
	}
	_, err = p.Send(t.Context(), "localhost:80", get)
	wantFailure(t, err, false, StepConnect, nil) // no name is looked up
	if len(p.peers) != 0 {
		t.Fatal("a failed dial is still counted")
	}
}

func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		defer p.Close()
		began := time.Now()
		_, err := p.Send(t.Context(), "runner", get)
		wantFailure(t, err, false, StepConnect, context.DeadlineExceeded)
		if took := time.Since(began); took != DefaultDialTimeout {
			t.Fatalf("took %v", took)
		}
	})
}

func TestCancelledBeforeSending(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.Send(ctx, r.address(), get)
	wantFailure(t, err, false, StepConnect, context.Canceled)
	wantStats(t, p, 0, 0)
}

// brokenConn fails to write after some bytes.
type brokenConn struct {
	net.Conn
	written int
}

func (b brokenConn) Write([]byte) (int, error)        { return b.written, io.ErrClosedPipe }
func (b brokenConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (b brokenConn) Close() error                     { return nil }
func (b brokenConn) SetReadDeadline(time.Time) error  { return nil }
func (b brokenConn) SetWriteDeadline(time.Time) error { return nil }

func TestFailedWrite(t *testing.T) {
	for written, sent := range map[int]bool{0: false, 1: true} {
		for _, size := range []int{0, smallBodyBytes + 1} {
			p := newPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
				return brokenConn{written: written}, nil
			}})
			_, err := p.Send(t.Context(), "runner", Request{Method: "POST", Target: "/", Body: make([]byte, size)})
			wantFailure(t, err, sent, StepWrite, io.ErrClosedPipe)
			if len(p.peers) != 0 {
				t.Fatal("the connection is still counted")
			}
		}
	}
}

func TestIdleConnectionThatTakesNoByteIsReplaced(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	whole(t, p, r, nil, okAnswer)
	idle := idleConnection(t, p, r.address())
	idle.Conn = brokenConn{written: 0}
	whole(t, p, r, nil, okAnswer)
	wantStats(t, p, 2, 1)
}

func TestResetAfterTheWrite(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	on := whole(t, p, r, nil, okAnswer)
	e := send(t, p, r.address(), get)
	on.request()
	on.reset()
	_, err := e.ReadHead(nil)
	wantFailure(t, err, true, StepReadHead, io.ErrUnexpectedEOF)
	wantStats(t, p, 1, 1) // no second try
}

func TestBrokenHeads(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		cause  error
	}{
		"nothing":            {"", io.ErrUnexpectedEOF},
		"half a status line": {"HTTP/1.1 20", io.ErrUnexpectedEOF},
		"half a head":        {"HTTP/1.1 200 OK\r\nContent-Le", io.ErrUnexpectedEOF},
		"garbage":            {"220 mail.example ESMTP\r\n\r\n", ErrMalformed},
		"bad field":          {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", ErrMalformed},
		"two lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12", ErrMalformed},
		"bad length":         {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", ErrMalformed},
		"another version":    {"HTTP/2.0 200 OK\r\n\r\n", ErrMalformed},
		"switching":          {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrMalformed},
		"informational":      {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInformational+1), ErrMalformed},
		"too large":          {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", MaxHeadBytes+2*readBufferBytes), ErrHeadTooLarge},
		"endless line":       {strings.Repeat("a", MaxHeadBytes+2*readBufferBytes), ErrHeadTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), get)
			on := r.accept()
			on.request()
			on.say(test.answer)
			on.CloseWrite()
			_, err := e.ReadHead(nil)
			wantFailure(t, err, true, StepReadHead, test.cause)
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestLargeHeadIsRead(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	on := r.accept()
	on.request()
	start, end := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: ", "\r\n\r\n"
	on.say(start + strings.Repeat("a", MaxHeadBytes-len(start)-len(end)) + end + "ok")
	if _, body := readAnswer(t, e); body != "ok" {
		t.Fatal(body)
	}
}

func TestCutBodies(t *testing.T) {
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		"chunk size":       chunks + "2\r\nok\r\n1",
		"chunk":            chunks + "2\r\nok\r\n3\r\nab",
		"chunk's end":      chunks + "2\r\nok\r\n1\r\na",
		"no last chunk":    chunks + "2\r\nok\r\n",
		"last chunk":       chunks + "2\r\nok\r\n0\r\n",
		"half its newline": chunks + "2\r\nok\r\n0\r\n\r",
		"trailer":          chunks + "2\r\nok\r\n0\r\nA: b\r\n",
	} {
		for _, how := range []string{"closed", "reset"} {
			t.Run(name+" "+how, func(t *testing.T) {
				r, p := newRunner(t), newPool(t, Options{})
				e := send(t, p, r.address(), get)
				on := r.accept()
				on.request()
				on.say(answer)
				if _, err := e.ReadHead(nil); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(e.Body, make([]byte, 2)); err != nil {
					t.Fatal(err)
				}
				if how == "reset" {
					on.reset()
				} else {
					on.Close()
				}
				if _, err := io.ReadAll(e.Body); err != io.ErrUnexpectedEOF {
					t.Fatal(err)
				}
				e.Finish()
				if openCount(p, r.address()) != 0 {
					t.Fatal("kept")
				}
			})
		}
	}
}

func TestMalformedChunk(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	on := r.accept()
	on.request()
	on.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")
	if _, err := e.ReadHead(nil); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadAll(e.Body)
	wantFailure(t, err, true, StepReadBody, ErrMalformed)
}

func answerOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func isMine(_ int, header http.Header) bool { return header.Get("X-Id") == "mine" }

func TestExtraAnswers(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		answers string
		cause   error // nil: ours is found
	}{
		"one":             {answerOf("old", "old") + answerOf("mine", "mine"), nil},
		"two":             {answerOf("old", "old") + chunked + answerOf("mine", "mine"), nil},
		"three":           {answerOf("old", "") + answerOf("old", "") + answerOf("old", "") + answerOf("mine", "mine"), ErrExtraAnswers},
		"large":           {answerOf("old", strings.Repeat("a", MaxExtraBytes)) + answerOf("mine", "mine"), nil},
		"too large":       {answerOf("old", strings.Repeat("a", MaxExtraBytes+1)) + answerOf("mine", "mine"), ErrExtraAnswers},
		"without an end":  {"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\nold", ErrExtraAnswers},
		"cut":             {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 9\r\n\r\nold", io.ErrUnexpectedEOF},
		"and nothing":     {answerOf("old", "old"), io.ErrUnexpectedEOF},
		"malformed chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), get)
			on := r.accept()
			on.request()
			go func() {
				io.WriteString(on.TCPConn, test.answers) // fails where the exchange gives up before its end
				on.CloseWrite()
			}()
			_, err := e.ReadHead(isMine)
			if test.cause != nil {
				wantFailure(t, err, true, StepReadHead, test.cause)
			} else if err != nil {
				t.Fatal(err)
			} else if body, err := io.ReadAll(e.Body); err != nil || string(body) != "mine" {
				t.Fatalf("%q, %v", body, err)
			}
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestEarlyAnswer(t *testing.T) {
	early := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
	for name, leave := range map[string]func(*served){
		"and open":   func(*served) {},
		"and closed": func(s *served) { s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			go func() {
				on := r.accept()
				if _, err := on.reader.ReadByte(); err != nil {
					return // the request has begun to arrive
				}
				io.WriteString(on.TCPConn, early)
				leave(on)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), unacknowledgedLimit/2) // else TCP would end the write
			defer cancel()
			e, err := p.Send(ctx, r.address(), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)})
			if err != nil {
				t.Fatal(err)
			}
			head, body := readAnswer(t, e)
			if head.Status != http.StatusServiceUnavailable || body != "busy" {
				t.Fatalf("%+v, %q", head, body)
			}
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestSlowlyTakenBodyIsSentWhole(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	const size = 32 << 20
	var got int
	done := make(chan struct{})
	go func() {
		defer close(done)
		on := r.accept()
		<-time.After(3 * writePatience) // longer than one write's patience: that is what is tested
		_, body := on.request()
		got = len(body)
		io.WriteString(on.TCPConn, okAnswer)
	}()
	e := send(t, p, r.address(), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)})
	readAnswer(t, e)
	e.Finish()
	<-done
	if got != size || openCount(p, r.address()) != 1 {
		t.Fatalf("%d bytes, %d open", got, openCount(p, r.address()))
	}
}

func TestContextEndUnblocks(t *testing.T) {
	for _, where := range []string{"write", "head", "body"} {
		t.Run(where, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			ctx, cancel := context.WithCancelCause(t.Context())
			cause := errors.New("client left")
			request := get
			if where == "write" {
				request.Body = make([]byte, 32<<20)
			}
			go func() {
				on := r.accept()
				switch where {
				case "write":
					on.reader.ReadByte()
				case "body":
					on.request()
					on.say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")
					return // the test cancels once it has read that
				default:
					on.request()
				}
				cancel(cause)
			}()
			e, err := p.Send(ctx, r.address(), request)
			if where == "write" {
				wantFailure(t, err, true, StepWrite, cause)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			_, err = e.ReadHead(nil)
			if where == "head" {
				wantFailure(t, err, true, StepReadHead, cause)
			} else {
				if _, err := io.ReadFull(e.Body, make([]byte, 2)); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(time.Millisecond, func() { cancel(cause) })
				_, err = e.Body.Read(make([]byte, 1))
				wantFailure(t, err, true, StepReadBody, cause)
			}
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestContextEndAfterFinishLeavesTheConnection(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	e, err := p.Send(ctx, r.address(), get)
	if err != nil {
		t.Fatal(err)
	}
	on := r.accept()
	on.request()
	on.say(okAnswer)
	readAnswer(t, e)
	e.Finish()
	e.Abort() // without effect
	cancel()
	whole(t, p, r, on, okAnswer)
	wantStats(t, p, 1, 1)
}

func TestReadDeadline(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	e.SetReadDeadline(longAgo())
	_, err := e.ReadHead(nil)
	wantFailure(t, err, true, StepReadHead, os.ErrDeadlineExceeded)
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

// deadlineConn remembers the read deadline.
type deadlineConn struct {
	*net.TCPConn
	at time.Time
}

func (d *deadlineConn) SetReadDeadline(at time.Time) error {
	d.at = at
	return d.TCPConn.SetReadDeadline(at)
}

func TestReadDeadlineEndsWithTheExchange(t *testing.T) {
	r := newRunner(t)
	var dialled *deadlineConn
	p := newPool(t, Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		dialled = &deadlineConn{TCPConn: conn.(*net.TCPConn)}
		return dialled, nil
	}})
	e := send(t, p, r.address(), get)
	e.SetReadDeadline(time.Now().Add(await))
	on := r.accept()
	on.request()
	on.say(okAnswer)
	readAnswer(t, e)
	e.Finish()
	if !dialled.at.IsZero() {
		t.Fatal("the deadline is still set")
	}
	whole(t, p, r, on, okAnswer)
	wantStats(t, p, 1, 1)
}

func TestAbortUnblocks(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	go func() {
		r.accept().request()
		e.Abort()
	}()
	_, err := e.ReadHead(nil)
	wantFailure(t, err, true, StepReadHead, nil)
	_, err = e.ReadHead(nil)
	wantFailure(t, err, true, StepReadHead, ErrExchangeOver)
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

func TestManyAtOnce(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		w.Write(append([]byte(q.Header.Get("X-Id")+" "), body...))
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()
	p := newPool(t, Options{MaxIdlePerRunner: 4})
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
			for i := range 50 {
				id := fmt.Sprint(worker, "-", i)
				ctx, cancel := context.WithCancel(t.Context())
				e, err := p.Send(ctx, listener.Addr().String(), Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(id)})
				if err != nil {
					t.Error(err)
				} else if i%7 == 0 {
					e.Abort()
				} else if _, err := e.ReadHead(nil); err != nil {
					t.Error(err)
				} else if got, err := io.ReadAll(e.Body); err != nil || string(got) != id+" "+id {
					t.Errorf("%q, %v", got, err)
				} else {
					e.Finish()
				}
				cancel()
			}
		})
	}
	all.Wait()
	if got := openCount(p, listener.Addr().String()); got > 4 {
		t.Fatalf("%d open", got)
	}
}

// script is a connection whose answer is written beforehand.
type script struct {
	brokenConn
	answer io.Reader
}

func (s script) Write(b []byte) (int, error) { return len(b), nil }
func (s script) Read(b []byte) (int, error)  { return s.answer.Read(b) }

func FuzzReadHead(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answerOf("old", "old") + answerOf("mine", "mine")))
	f.Add([]byte("HTTP/1.0 404\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		p := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
			return script{answer: strings.NewReader(string(answer))}, nil
		}})
		defer p.Close()
		e, err := p.Send(context.Background(), "runner", get)
		if err != nil {
			t.Fatal(err)
		}
		head, err := e.ReadHead(isMine)
		if err != nil {
			wantFailure(t, err, true, StepReadHead, nil)
		} else {
			if head.Status < 200 || head.Status > 999 {
				t.Fatalf("status %d", head.Status)
			}
			body, err := io.ReadAll(e.Body)
			if err == nil && head.ContentLength > 0 && int64(len(body)) != head.ContentLength {
				t.Fatalf("%d bytes of %d", len(body), head.ContentLength)
			}
			if err != nil && err != io.ErrUnexpectedEOF {
				wantFailure(t, err, true, StepReadBody, nil)
			}
		}
		e.Finish()
	})
}

func BenchmarkExchange(b *testing.B) {
	for name, answer := range map[string]string{"length": okAnswer, "chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer listener.Close()
			go answerAlways(listener, []byte(answer))
			p := New(Options{DialTimeout: await})
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request := Request{Method: "POST", Target: "/v1/x?y=z", Host: "example.org", Header: http.Header{"Content-Type": {"application/json"}, "X-Id": {"1"}}, Body: make([]byte, 200)}
			buffer := make([]byte, 512)
			address := listener.Addr().String()
			b.ReportAllocs()
			for b.Loop() {
				e, err := p.Send(ctx, address, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := e.ReadHead(nil); err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = e.Body.Read(buffer)
				}
				if err != io.EOF {
					b.Fatal(err)
				}
				e.Finish()
			}
			if p.Stats().Dials != 1 {
				b.Fatalf("%+v", p.Stats())
			}
		})
	}
}

// answerAlways answers requests that come one at a time, without allocating.
func answerAlways(listener net.Listener, answer []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

func TestSocketOptions(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	raw, err := e.connection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(descriptor uintptr) {
		limit, _ := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		noDelay, _ := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if limit != int(unacknowledgedLimit/time.Millisecond) || noDelay == 0 {
			t.Errorf("TCP_USER_TIMEOUT %d ms, TCP_NODELAY %d", limit, noDelay)
		}
	})
}
