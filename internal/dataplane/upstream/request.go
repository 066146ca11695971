package upstream

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Request is what goes to a runner.
type Request struct {
	Method string
	Target string // the path with its query, exactly as the client sent it
	Host   string
	Header http.Header // headers that concern one connection only are left out, and Content-Length is set anew
	Body   []byte
}

// maxInlineBodyBytes is up to where a body is copied behind the head, so that both leave in one packet if they fit.
const maxInlineBodyBytes = 16 << 10

// maxPooledBufferBytes is the largest buffer that is kept for a later request.
const maxPooledBufferBytes = 64 << 10

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// putBuffer gives a buffer back.
func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBufferBytes {
		requestBuffers.Put(buffer)
	}
}

// append writes the request's head, and its body where that is small. rest is what of the body is left to write.
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

// needsLength reports whether a request of the method states the length of its body even when it has none.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
