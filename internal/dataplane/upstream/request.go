package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
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

// smallBodyBytes is up to where a body is copied behind the head, so that both leave in one packet if they fit.
const smallBodyBytes = 16 << 10

// keptBufferBytes is the largest buffer that is kept for a later request.
const keptBufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// putBuffer gives a buffer back.
func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= keptBufferBytes {
		buffers.Put(buffer)
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
	if len(r.Body) > smallBodyBytes {
		return buffer, r.Body, nil
	}
	return append(buffer, r.Body...), nil, nil
}

// needsLength reports whether a request of the method states the length of its body even when it has none.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// appendHeader writes the header fields that concern both ends.
func appendHeader(buffer []byte, header http.Header) ([]byte, error) {
	named := connectionNames(header)
	for name, values := range header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if isHopByHop(canonical) || slices.Contains(named, canonical) {
			continue
		}
		for _, value := range values {
			if !isToken(name) || !isFieldValue(value) {
				return nil, eris.Wrapf(ErrBadRequest, "header field %q", name)
			}
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	return buffer, nil
}

// connectionNames lists the fields that the Connection header declares to concern one connection only.
func connectionNames(header http.Header) (names []string) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// isHopByHop reports whether a field concerns one connection only, or is written by this package itself.
func isHopByHop(canonical string) bool {
	switch canonical {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length":
		return true
	}
	return strings.HasPrefix(canonical, "Proxy-")
}

// isToken reports whether a string is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for i := range len(text) {
		b := text[i]
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return text != ""
}

// isVisible reports whether a string has no spaces and no control characters.
func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// isFieldValue reports whether a string may stand as a header field's value: no control characters but tabs.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
