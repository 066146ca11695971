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
	for name, spoil := range map[string]func(*served){
		"closed":        func(s *served) { _ = s.Close() },
		"half closed":   func(s *served) { _ = s.CloseWrite() },
		"reset":         func(s *served) { s.reset() },
		"extra byte":    func(s *served) { s.say("H") },
		"late response": func(s *served) { s.say(okResponse) },
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			on := exchangeCompletely(t, p, r, nil, okResponse)
			spoil(on)
			waitUnclean(t, idleConnection(t, p, r.address()))
			exchangeCompletely(t, p, r, nil, okResponse)
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
		e := send(t, p, "runner", get)
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
	r, p := newRunner(t), newPool(t, Options{})
	_ = r.listener.Close()
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

func TestSocketOptions(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
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
