package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// appendHeader appends the end-to-end header fields to buffer, leaving out hop-by-hop fields and those that Request.append
// writes itself.
func appendHeader(buffer []byte, header http.Header) ([]byte, error) {
	listed := connectionOptions(header)
	for name, values := range header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if isHopByHop(canonical) || slices.Contains(listed, canonical) {
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

// RemoveConnectionOptions removes the Connection fields of a header and the fields that they list.
func RemoveConnectionOptions(header http.Header) {
	for _, name := range connectionOptions(header) {
		delete(header, name)
	}
	delete(header, "Connection")
}

// connectionOptions returns the names of the fields that the Connection header lists as hop-by-hop.
func connectionOptions(header http.Header) (names []string) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// isHopByHop reports whether a field is not forwarded, because it is hop-by-hop or because Request.append writes it itself.
func isHopByHop(canonical string) bool {
	switch canonical {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length":
		return true
	}
	return strings.HasPrefix(canonical, "Proxy-")
}

// isToken reports whether a string is a token as defined by RFC 9110, section 5.6.2.
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

// isVisible reports whether a string is not empty and has neither spaces nor control characters.
func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// isFieldValue reports whether a string is valid as the value of a header field: it has no control characters except tabs.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
