package gateway

import "io"

// drainBody reads and discards a request body. Errors are ignored.
func drainBody(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// writeText writes a response. Errors are ignored: in some tests the other end has closed the connection.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// closeQuietly closes c and ignores the error, because the other end may have closed the connection already.
func closeQuietly(c io.Closer) { _ = c.Close() }
