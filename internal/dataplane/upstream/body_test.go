package upstream

import (
	"errors"
	"io"
	"testing"
)

func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		method, response, body string
		length                 int64
		chunked, framed        bool
		reusable               bool
	}{
		"length":         {"GET", okResponse, "ok", 2, false, true, true},
		"no body":        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 0, false, true, true},
		"to HEAD":        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", 9, false, true, true},
		"chunks":         {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok", -1, true, true, true},
		"trailer":        {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", "ok", -1, true, true, true},
		"informational":  {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse, "ok", 2, false, true, true},
		"close":          {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"HTTP/1.0":       {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"short-lived":    {"GET", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "ok", 2, false, true, false},
		"leftover":       {"GET", okResponse + "H", "ok", 2, false, true, false},
		"a second whole": {"GET", okResponse + okResponse, "ok", 2, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), Request{Method: test.method, Target: "/", Host: "h"})
			conn := r.accept()
			conn.readRequest()
			conn.writeString(test.response)
			head, got := readResponse(t, e)
			if got != test.body || head.ContentLength != test.length || head.Chunked != test.chunked || head.Framed != test.framed {
				t.Fatalf("head %+v, body %q", head, got)
			}
			e.Finish()
			if reusable := openCount(p, r.address()) == 1; reusable != test.reusable {
				t.Fatalf("connection reusable: %v", reusable)
			}
			if _, err := e.Body.Read(make([]byte, 1)); !errors.Is(err, ErrExchangeOver) {
				t.Fatalf("read after Finish: %v", err)
			}
		})
	}
}

func TestUnframedResponse(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	conn := r.accept()
	conn.readRequest()
	conn.writeString("HTTP/1.1 200 OK\r\n\r\nto the")
	head, err := e.ReadHead(nil)
	if err != nil || head.Framed || head.ContentLength != -1 {
		t.Fatalf("%+v, %v", head, err)
	}
	first := make([]byte, 6)
	if _, err := io.ReadFull(e.Body, first); err != nil || string(first) != "to the" {
		t.Fatalf("%q, %v", first, err) // bytes are delivered before the body ends
	}
	conn.writeString(" end")
	_ = conn.Close()
	rest, err := io.ReadAll(e.Body)
	if err != nil || string(rest) != " end" {
		t.Fatalf("%q, %v", rest, err)
	}
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

func TestConnectionWithUnreadResponseIsClosed(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	conn := r.accept()
	conn.readRequest()
	conn.writeString(okResponse)
	if _, err := e.ReadHead(nil); err != nil {
		t.Fatal(err)
	}
	e.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
	if _, err := conn.reader.ReadByte(); err == nil {
		t.Fatal("the runner's end of the connection is still open")
	}
}

func TestTruncatedBodies(t *testing.T) {
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		"chunk size":       chunks + "2\r\nok\r\n1",
		"chunk":            chunks + "2\r\nok\r\n3\r\nab",
		"chunk's end":      chunks + "2\r\nok\r\n1\r\na",
		"no last chunk":    chunks + "2\r\nok\r\n",
		"last chunk":       chunks + "2\r\nok\r\n0\r\n",
		"half its newline": chunks + "2\r\nok\r\n0\r\n\r",
		"trailer":          chunks + "2\r\nok\r\n0\r\nA: b\r\n",
	} {
		for _, ending := range []string{"closed", "reset"} {
			t.Run(name+" "+ending, func(t *testing.T) {
				r, p := newFakeRunner(t), newPool(t, Options{})
				e := send(t, p, r.address(), getRequest)
				conn := r.accept()
				conn.readRequest()
				conn.writeString(response)
				if _, err := e.ReadHead(nil); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(e.Body, make([]byte, 2)); err != nil {
					t.Fatal(err)
				}
				if ending == "reset" {
					conn.reset()
				} else {
					_ = conn.Close()
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
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	conn := r.accept()
	conn.readRequest()
	conn.writeString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")
	if _, err := e.ReadHead(nil); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadAll(e.Body)
	wantSendError(t, err, true, StepReadBody, ErrMalformed)
}
