package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

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
