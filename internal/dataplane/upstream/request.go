package upstream

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Request is a request to a runner.
type Request struct {
	Method string
	Target string // path and query, exactly as the client sent them
	Host   string
	Header http.Header // hop-by-hop fields are not sent, and Content-Length is derived from Body
	Body   []byte
}

// maxInlineBodyBytes is the largest body that is copied after the head, so that both go out in one packet if they fit.
const maxInlineBodyBytes = 16 << 10

// maxPooledBufferBytes is the capacity of the largest buffer that is returned to requestBuffers.
const maxPooledBufferBytes = 64 << 10

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// putBuffer returns a buffer to requestBuffers unless it is too large.
func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBufferBytes {
		requestBuffers.Put(buffer)
	}
}

// append appends the head of the request to buffer, and the body if it is small. rest is a body that is still to be written.
func (r *Request) append(buffer []byte) (head, rest []byte, err error) {
	if !isToken(r.Method) || !isVisible(r.Target) || r.Host != "" && !isVisible(r.Host) {
		return nil, nil, eris.Wrapf(ErrBadRequest, "method %q, target %q, host %q", r.Method, r.Target, r.Host)
	}
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, r.Target...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, r.Host...)
	buffer = append(buffer, "\r\n"...)
	if buffer, err = appendHeader(buffer, r.Header); err != nil {
		return nil, nil, err
	}
	if len(r.Body) > 0 || needsLength(r.Method) {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(r.Body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if len(r.Body) > maxInlineBodyBytes {
		return buffer, r.Body, nil
	}
	return append(buffer, r.Body...), nil, nil
}

// needsLength reports whether a request with this method has a Content-Length field even if its body is empty.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
