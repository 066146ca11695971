package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestRequestOnTheWire(t *testing.T) {
	r, p := newFakeRunner(t), New(Options{})
	defer p.Close()
	large := strings.Repeat("x", maxInlineBodyBytes+1)
	for _, body := range []string{"", "small", large} {
		header := http.Header{"X-One": {"1", "2"}, "Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=1"}, "Proxy-Authorization": {"p"},
			"Te": {"trailers"}, "Trailer": {"A"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Content-Length": {"99"}, "Host": {"other"}, "Expect": {"100-continue"}}
		e := send(t, p, r.address(), Request{Method: "POST", Target: "/a%20b?c=%2F", Host: "example.org", Header: header, Body: []byte(body)})
		conn := r.accept()
		request, got := conn.readRequest()
		if got != body || request.ContentLength != int64(len(body)) || request.RequestURI != "/a%20b?c=%2F" || request.Host != "example.org" {
			t.Fatalf("request %v with a body of %d bytes", request, len(got))
		}
		delete(request.Header, "Content-Length")
		if len(request.Header) != 1 || fmt.Sprint(request.Header["X-One"]) != "[1 2]" || len(request.TransferEncoding) > 0 {
			t.Fatalf("header: %v", request.Header)
		}
		e.Abort()
	}
}

func TestBadRequestIsNotSent(t *testing.T) {
	p := newPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("dialled") }})
	for _, bad := range []Request{
		{Method: "G T", Target: "/"}, {Method: "GET", Target: "/ HTTP/1.1\r\nX: y"}, {Method: "GET"}, {Target: "/"},
		{Method: "GET", Target: "/", Host: "a\r\nb"}, {Method: "GET", Target: "/", Header: http.Header{"A": {"b\r\nc: d"}}},
		{Method: "GET", Target: "/", Header: http.Header{"A:": {"b"}}},
	} {
		_, err := p.Send(t.Context(), "127.0.0.1:1", bad)
		wantSendError(t, err, false, StepEncode, ErrBadRequest)
	}
}
