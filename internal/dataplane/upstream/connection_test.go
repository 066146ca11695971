package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

func TestStaleIdleConnection(t *testing.T) {
	for name, makeStale := range map[string]func(*runnerConn){
		"closed":        func(s *runnerConn) { _ = s.Close() },
		"half closed":   func(s *runnerConn) { _ = s.CloseWrite() },
		"reset":         func(s *runnerConn) { s.reset() },
		"extra byte":    func(s *runnerConn) { s.writeString("H") },
		"late response": func(s *runnerConn) { s.writeString(okResponse) },
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			conn := runExchange(t, p, r, nil, okResponse)
			makeStale(conn)
			waitUntilUnusable(t, idleConnection(t, p, r.address()))
			runExchange(t, p, r, nil, okResponse)
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
				_ = request.Body.Close()
				_, _ = io.WriteString(far, okResponse)
			}
			answered <- far
		}()
		e := send(t, p, "runner", getRequest)
		readResponse(t, e)
		e.Finish()
		far := <-answered
		if reuses == 0 {
			ends <- far
		} else {
			_ = far.Close()
		}
	}
	wantStats(t, p, 2, 1)
}

func TestDialRefused(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	_ = r.listener.Close()
	_, err := p.Send(t.Context(), r.address(), getRequest)
	wantSendError(t, err, false, StepConnect, nil)
	if !strings.Contains(err.Error(), r.address()) {
		t.Fatalf("%v does not contain the address of the runner", err)
	}
	_, err = p.Send(t.Context(), "localhost:80", getRequest)
	wantSendError(t, err, false, StepConnect, nil) // host names are not resolved
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
		start := time.Now()
		_, err := p.Send(t.Context(), "runner", getRequest)
		wantSendError(t, err, false, StepConnect, context.DeadlineExceeded)
		if elapsed := time.Since(start); elapsed != DefaultDialTimeout {
			t.Fatalf("dial timed out after %v", elapsed)
		}
	})
}

func TestSocketOptions(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	raw, err := e.connection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(descriptor uintptr) {
		limit, _ := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		noDelay, _ := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if limit != int(tcpUserTimeout/time.Millisecond) || noDelay == 0 {
			t.Errorf("TCP_USER_TIMEOUT %d ms, TCP_NODELAY %d", limit, noDelay)
		}
	})
}
