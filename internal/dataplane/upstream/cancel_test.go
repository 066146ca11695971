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
					_, _ = on.reader.ReadByte()
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
	on.say(okResponse)
	readResponse(t, e)
	e.Finish()
	e.Abort() // without effect
	cancel()
	exchangeCompletely(t, p, r, on, okResponse)
	wantStats(t, p, 1, 1)
}

func TestReadDeadline(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	_ = e.SetReadDeadline(pastDeadline())
	_, err := e.ReadHead(nil)
	wantFailure(t, err, true, StepReadHead, os.ErrDeadlineExceeded)
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
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
	_ = e.SetReadDeadline(time.Now().Add(await))
	on := r.accept()
	on.request()
	on.say(okResponse)
	readResponse(t, e)
	e.Finish()
	if !dialled.at.IsZero() {
		t.Fatal("the deadline is still set")
	}
	exchangeCompletely(t, p, r, on, okResponse)
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
