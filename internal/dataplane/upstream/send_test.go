package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestCancelledBeforeSending(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.Send(ctx, r.address(), getRequest)
	wantSendError(t, err, false, StepConnect, context.Canceled)
	wantStats(t, p, 0, 0)
}

func TestFailedWrite(t *testing.T) {
	for written, sent := range map[int]bool{0: false, 1: true} {
		for _, size := range []int{0, maxInlineBodyBytes + 1} {
			p := newPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
				return brokenConn{written: written}, nil
			}})
			_, err := p.Send(t.Context(), "runner", Request{Method: "POST", Target: "/", Body: make([]byte, size)})
			wantSendError(t, err, sent, StepWrite, io.ErrClosedPipe)
			if len(p.peers) != 0 {
				t.Fatal("the connection is still counted")
			}
		}
	}
}

func TestIdleConnectionThatTakesNoByteIsReplaced(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	runExchange(t, p, r, nil, okResponse)
	idle := idleConnection(t, p, r.address())
	idle.Conn = brokenConn{written: 0}
	runExchange(t, p, r, nil, okResponse)
	wantStats(t, p, 2, 1)
}

func TestResetAfterTheWrite(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	conn := runExchange(t, p, r, nil, okResponse)
	e := send(t, p, r.address(), getRequest)
	conn.readRequest()
	conn.reset()
	_, err := e.ReadHead(nil)
	wantSendError(t, err, true, StepReadHead, io.ErrUnexpectedEOF)
	wantStats(t, p, 1, 1) // the request is not retried
}

func TestEarlyResponse(t *testing.T) {
	early := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
	for name, leave := range map[string]func(*runnerConn){
		"and open":   func(*runnerConn) {},
		"and closed": func(s *runnerConn) { _ = s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			go func() {
				conn := r.accept()
				if _, err := conn.reader.ReadByte(); err != nil {
					return // ReadByte only waits for the start of the request
				}
				_, _ = io.WriteString(conn.TCPConn, early)
				leave(conn)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), tcpUserTimeout/2) // before TCP_USER_TIMEOUT could end the write
			defer cancel()
			e, err := p.Send(ctx, r.address(), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)})
			if err != nil {
				t.Fatal(err)
			}
			head, body := readResponse(t, e)
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

func TestSlowlyReadBodyIsSentCompletely(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	const size = 32 << 20
	var got int
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn := r.accept()
		<-time.After(3 * writeStallTimeout) // the write stalls several times before the body is read
		_, body := conn.readRequest()
		got = len(body)
		_, _ = io.WriteString(conn.TCPConn, okResponse)
	}()
	e := send(t, p, r.address(), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)})
	readResponse(t, e)
	e.Finish()
	<-done
	if got != size || openCount(p, r.address()) != 1 {
		t.Fatalf("%d bytes received, %d connections open", got, openCount(p, r.address()))
	}
}
