package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleTTL returns how long the connection may stay idle; 0 means that it cannot be reused.
func (e *Exchange) idleTTL() time.Duration {
	if e.response == nil || !e.bodyFramed || !e.bodyDone || e.notReusable || e.response.Close || e.reader.Buffered() > 0 {
		return 0
	}
	ttl := e.connection.pool.options.IdleTimeout
	if timeout, ok := keepAliveTimeout(e.response.Header); ok {
		ttl = min(ttl, timeout-keepAliveMargin)
	}
	return max(ttl, 0)
}

// keepAliveTimeout returns the timeout of the header field `Keep-Alive: timeout=N`, where N is in seconds.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, value := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(number, " \""), 10, 31)
			if err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
