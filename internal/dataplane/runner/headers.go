package runner

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// The headers that we set towards runners. Whatever a client sends under these heads is removed.
const (
	OwnHeaderPrefix = "X-Yarrowridge-"
	TenantHeader    = "X-Yarrowridge-Tenant"
	RequestHeader   = "X-Yarrowridge-Query"
)

// ForwardedHeader copies the headers that pass through us: no hop-by-hop ones, no key, none of our own.
func ForwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for _, f := range strings.Split(v, ",") {
			out.Del(textproto.TrimString(f))
		}
	}
	for _, header := range hopByHop {
		out.Del(header)
	}
	for k := range out {
		low := strings.ToLower(strings.ReplaceAll(k, "_", "-"))
		if strings.HasPrefix(low, strings.ToLower(OwnHeaderPrefix)) || low == "x-tenant" || low == "tenant" {
			delete(out, k)
		}
	}
	return out
}
