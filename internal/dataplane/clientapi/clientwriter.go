package clientapi

import (
	"net/http"
	"time"

	"yarrowridge/internal/lib/web"
)

// clientWriteTimeout is how long a client may take nothing of its response before it counts as gone.
const clientWriteTimeout = 5 * time.Second

// clientWriter is the client's end of a response. Nobody waits for a client for longer than
// clientWriteTimeout: its runner and the replica at the standby go on without it.
type clientWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	closed  bool
}

func (e *exchange) newClientWriter() *clientWriter {
	return &clientWriter{writer: e.writer, control: web.ResponseController(e.writer, e.incoming)}
}

// write hands bytes over, and reports whether the client is still there.
func (c *clientWriter) write(data []byte) bool {
	for len(data) > 0 && !c.closed {
		n := min(len(data), 64<<10)
		_ = c.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, err := c.writer.Write(data[:n])
		if err == nil {
			err = c.control.Flush()
		}
		c.closed = err != nil
		data = data[n:]
	}
	return !c.closed
}
