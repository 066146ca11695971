package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/tcp"
	"yarrowridge/internal/transport/wire"
)

// Sender sends all requests to runners. It uses net/http instead of go-zero's httpc, whose circuit breaker would reject
// requests by its own count of responses, and whose default client follows redirects and uses the proxy that is set in the
// environment.
type Sender struct{ transport *http.Transport }

// Dial opens a connection to a runner.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DialFrom returns a Dial over TCP from a local IP address; "": the system chooses one.
func DialFrom(ip string) Dial { return wire.NewDialer(ip, time.Second).DialContext }

// abortingOnClose dials a connection that Close resets. net/http closes the connection of a cancelled request. After an
// orderly close the kernel would keep retransmitting, and deliver the request once a network partition heals. For idle
// connections a reset is safe: the runner has acknowledged all data.
func (d Dial) abortingOnClose(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return conn, tcp.AbortOnClose(conn)
}

// NewSender returns a sender. dial opens its connections; nil: over TCP.
func NewSender(dial Dial) *Sender {
	if dial == nil {
		dial = DialFrom("")
	}
	return &Sender{&http.Transport{
		Proxy:               nil,
		DialContext:         dial.abortingOnClose,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     2 * time.Second,
		ForceAttemptHTTP2:   false,
		WriteBufferSize:     64 << 10,
	}}
}

// body hides all methods but Read from the transport, so that it cannot rewind the body and send the request again. A
// request without a body gets an empty one: a body that is not nil and of unknown length prevents net/http from resending a
// GET request after a stale connection.
type body struct{ io.Reader }

// Close does nothing, because the reader belongs to the caller.
func (body) Close() error { return nil }

// Request is a request to a runner.
type Request struct {
	Method, Path string // Path is the client's request URI, with its query string
	Header       http.Header
	Body         []byte
	Tenant, ID   string // sent in TenantHeader and RequestHeader
}

// Send sends a request once. sent reports whether any byte of it may have been sent: only if it is false may the request be
// sent again.
func (s *Sender) Send(ctx context.Context, addr string, request Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+addr+request.Path, nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "runner: build the request")
	}
	req.Header = ForwardedHeader(request.Header)
	req.Header.Del("Authorization")
	req.Header.Set(TenantHeader, request.Tenant)
	if faultinjection.Disabled("tenant") {
		req.Header.Set(TenantHeader, request.Header.Get(TenantHeader))
	}
	req.Header.Set(RequestHeader, request.ID)
	if len(req.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = []string{""} // without an entry, net/http sends its own
	}
	req.Body = body{strings.NewReader(string(request.Body))}
	req.ContentLength = int64(len(request.Body))
	response, err = s.transport.RoundTrip(req)
	return response, connected.Load(), eris.Wrapf(err, "runner: send to %s", addr)
}

// Close closes idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }
