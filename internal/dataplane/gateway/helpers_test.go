package gateway

import "io"

// drainBody reads a request's body away, as far as it comes.
func drainBody(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// writeText writes as much of a response as the other end takes: it may have gone, as some tests want it to.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// closeQuietly closes what the other end may have closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }
