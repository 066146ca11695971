package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/strike"
	"yarrowridge/internal/wire"
)

// Sender is the one place that sends queries to runners. It is built on net/http rather than httpc:
// httpc's breaker would bounce queries on its own count of answers, and its default client follows
// redirects and obeys the environment's proxy.
type Sender struct{ tran *http.Transport }

// Dial opens a connection to a runner.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// From dials over TCP from an IP number; from the system's choice where it is "".
//
//	s := runner.NewSender(runner.From("10.1.0.7"))
func From(ip string) Dial { return wire.Dialer(ip, time.Second).DialContext }

// NewSender makes a sender. dial may be nil for TCP.
//
//	s := runner.NewSender(nil)
func NewSender(dial Dial) *Sender {
	if dial == nil {
		dial = From("")
	}
	return &Sender{&http.Transport{
		Proxy:               nil,
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     2 * time.Second,
		ForceAttemptHTTP2:   false,
		WriteBufferSize:     64 << 10,
	}}
}

// body hides everything but Read from the transport, so that it has no way to send it twice.
// For a query without a body it reads as empty: a non-nil body of unknown length keeps net/http
// from resending a GET on a stale connection by itself.
type body struct{ io.Reader }

func (body) Close() error { return nil }

// hop are the headers that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// The headers that we set towards runners. Whatever an origin sends under these heads is removed.
const (
	OwnHead    = "X-Yarrowridge-"
	TenantHead = "X-Yarrowridge-Tenant"
	QueryHead  = "X-Yarrowridge-Query"
)

// Clean copies the headers that pass through us: no hop-by-hop ones, no key, none of our own.
//
//	out := runner.Clean(req.Header)
func Clean(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for _, f := range strings.Split(v, ",") {
			out.Del(textproto.TrimString(f))
		}
	}
	for _, h := range hop {
		out.Del(h)
	}
	for k := range out {
		low := strings.ToLower(strings.ReplaceAll(k, "_", "-"))
		if strings.HasPrefix(low, strings.ToLower(OwnHead)) || low == "x-tenant" || low == "tenant" {
			delete(out, k)
		}
	}
	return out
}

// Out is one query as it goes to a runner.
type Out struct {
	Method, Path string // Path with its query string, as it came
	Head         http.Header
	Body         []byte
	Tenant, Id   string
}

// Send sends once. left tells whether a byte may have left: only where it is false may the query
// be sent again.
//
//	ans, left, err := s.Send(ctx, "127.0.0.1:9001", out)
func (s *Sender) Send(ctx context.Context, addr string, out Out) (ans *http.Response, left bool, err error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, out.Method, "http://"+addr+out.Path, nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "runner: query unfit to send")
	}
	req.Header = Clean(out.Head)
	req.Header.Del("Authorization")
	req.Header.Set(TenantHead, out.Tenant)
	if strike.Out("tenant") {
		req.Header.Set(TenantHead, out.Head.Get(TenantHead))
	}
	req.Header.Set(QueryHead, out.Id)
	if len(req.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = []string{""} // else net/http names itself
	}
	req.Body = body{strings.NewReader(string(out.Body))}
	req.ContentLength = int64(len(out.Body))
	ans, err = s.tran.RoundTrip(req)
	return ans, got.Load(), eris.Wrapf(err, "runner: send to %s", addr)
}

// Close drops idle connections.
//
//	s.Close()
func (s *Sender) Close() { s.tran.CloseIdleConnections() }
