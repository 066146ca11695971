package runner

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Headers that routers set on requests to runners and on responses to clients. No header with this prefix is forwarded.
const (
	OwnHeaderPrefix = "X-Yarrowridge-"
	TenantHeader    = "X-Yarrowridge-Tenant"
	RequestHeader   = "X-Yarrowridge-Query"
)

// ForwardedHeader returns a copy of the headers of a request or response without those that are not forwarded: the
// hop-by-hop headers, those listed in Connection, and all that could be mistaken for a router's own headers or for a
// tenant's name.
func ForwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, header := range hopByHopHeaders {
		out.Del(header)
	}
	for name := range out {
		normalized := strings.ToLower(strings.ReplaceAll(name, "_", "-"))
		if strings.HasPrefix(normalized, strings.ToLower(OwnHeaderPrefix)) || normalized == "x-tenant" || normalized == "tenant" {
			delete(out, name)
		}
	}
	return out
}
