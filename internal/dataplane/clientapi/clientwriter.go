package clientapi

import (
	"net/http"
	"time"

	"yarrowridge/internal/lib/web"
)

// clientWriteTimeout is how long a write to a client may make no progress before the client counts as disconnected.
const clientWriteTimeout = 5 * time.Second

// clientWriter writes a response to the client. A write blocks for at most clientWriteTimeout: after that the client counts as
// disconnected, and the runner and the replication to the standby continue without it.
type clientWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	closed  bool
}

func (e *exchange) newClientWriter() *clientWriter {
	return &clientWriter{writer: e.writer, control: web.ResponseController(e.writer, e.incoming)}
}

// write sends data to the client and flushes it. It reports whether the client is still connected.
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
