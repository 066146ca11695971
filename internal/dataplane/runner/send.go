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

// Sender is the one place that sends requests to runners. It is built on net/http rather than httpc:
// httpc's breaker would reject requests on its own count of answers, and its default client follows
// redirects and obeys the environment's proxy.
type Sender struct{ transport *http.Transport }

// Dial opens a connection to a runner.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DialFrom dials over TCP from an IP number; from the system's choice where it is "".
func DialFrom(ip string) Dial { return wire.NewDialer(ip, time.Second).DialContext }

// abortingOnClose dials a connection whose Close aborts it. net/http closes the connection of a request that was given up;
// closed in order, it would deliver the request once a network partition that holds it back heals. Of a connection that is
// closed because it is idle the runner has acknowledged everything.
func (d Dial) abortingOnClose(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return conn, tcp.AbortOnClose(conn)
}

// NewSender makes a sender. dial may be nil for TCP.
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

// body hides everything but Read from the transport, so that it has no way to send it twice.
// For a request without a body it reads as empty: a non-nil body of unknown length keeps net/http
// from resending a GET on a stale connection by itself.
type body struct{ io.Reader }

// Close does nothing: the reader belongs to the caller.
func (body) Close() error { return nil }

// Request is one request as it goes to a runner.
type Request struct {
	Method, Path string // Path with its query string, as it came
	Header       http.Header
	Body         []byte
	Tenant, ID   string
}

// Send sends once. left reports whether a byte may have left: only where it is false may the request
// be sent again.
func (s *Sender) Send(ctx context.Context, addr string, out Request) (ans *http.Response, left bool, err error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, out.Method, "http://"+addr+out.Path, nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "runner: query unfit to send")
	}
	req.Header = ForwardedHeader(out.Header)
	req.Header.Del("Authorization")
	req.Header.Set(TenantHeader, out.Tenant)
	if faultinjection.Disabled("tenant") {
		req.Header.Set(TenantHeader, out.Header.Get(TenantHeader))
	}
	req.Header.Set(RequestHeader, out.ID)
	if len(req.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = []string{""} // else net/http names itself
	}
	req.Body = body{strings.NewReader(string(out.Body))}
	req.ContentLength = int64(len(out.Body))
	ans, err = s.transport.RoundTrip(req)
	return ans, got.Load(), eris.Wrapf(err, "runner: send to %s", addr)
}

// Close drops idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }
