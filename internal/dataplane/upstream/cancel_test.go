package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func TestContextEndUnblocks(t *testing.T) {
	for _, step := range []string{"write", "head", "body"} {
		t.Run(step, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			ctx, cancel := context.WithCancelCause(t.Context())
			cause := errors.New("client left")
			request := getRequest
			if step == "write" {
				request.Body = make([]byte, 32<<20)
			}
			go func() {
				conn := r.accept()
				switch step {
				case "write":
					_, _ = conn.reader.ReadByte()
				case "body":
					conn.readRequest()
					conn.writeString("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")
					return // the test cancels after reading these bytes
				default:
					conn.readRequest()
				}
				cancel(cause)
			}()
			e, err := p.Send(ctx, r.address(), request)
			if step == "write" {
				wantSendError(t, err, true, StepWrite, cause)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			_, err = e.ReadHead(nil)
			if step == "head" {
				wantSendError(t, err, true, StepReadHead, cause)
			} else {
				if _, err := io.ReadFull(e.Body, make([]byte, 2)); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(time.Millisecond, func() { cancel(cause) })
				_, err = e.Body.Read(make([]byte, 1))
				wantSendError(t, err, true, StepReadBody, cause)
			}
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestContextEndAfterFinishLeavesTheConnection(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	e, err := p.Send(ctx, r.address(), getRequest)
	if err != nil {
		t.Fatal(err)
	}
	conn := r.accept()
	conn.readRequest()
	conn.writeString(okResponse)
	readResponse(t, e)
	e.Finish()
	e.Abort() // has no effect after Finish
	cancel()
	runExchange(t, p, r, conn, okResponse)
	wantStats(t, p, 1, 1)
}

func TestReadDeadline(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	_ = e.SetReadDeadline(pastDeadline())
	_, err := e.ReadHead(nil)
	wantSendError(t, err, true, StepReadHead, os.ErrDeadlineExceeded)
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

func TestReadDeadlineEndsWithTheExchange(t *testing.T) {
	r := newFakeRunner(t)
	var dialled *deadlineConn
	p := newPool(t, Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		dialled = &deadlineConn{TCPConn: conn.(*net.TCPConn)}
		return dialled, nil
	}})
	e := send(t, p, r.address(), getRequest)
	_ = e.SetReadDeadline(time.Now().Add(testTimeout))
	conn := r.accept()
	conn.readRequest()
	conn.writeString(okResponse)
	readResponse(t, e)
	e.Finish()
	if !dialled.readDeadline.IsZero() {
		t.Fatal("the read deadline is still set")
	}
	runExchange(t, p, r, conn, okResponse)
	wantStats(t, p, 1, 1)
}

func TestAbortUnblocks(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	go func() {
		r.accept().readRequest()
		e.Abort()
	}()
	_, err := e.ReadHead(nil)
	wantSendError(t, err, true, StepReadHead, nil)
	_, err = e.ReadHead(nil)
	wantSendError(t, err, true, StepReadHead, ErrExchangeOver)
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}
