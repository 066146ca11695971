package gateway

import (
	"io"
	"net/http"
	"strconv"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

const (
	maxBufferedBytes  = 8 << 20  // larger responses are not forwarded: the attempt counts as lost
	maxDiscardedBytes = 64 << 10 // read from a discarded response so that its connection can be reused
)

// forwardBuffered reads a response to the end of its framing before it forwards any of it, so that a client cannot mistake a
// truncated response for a complete one, and a failed attempt can still be retried.
func (r *request) forwardBuffered(attempt *balance.Attempt, exchange *upstream.Exchange, head upstream.Head, stream *streamResponse) (attemptOutcome, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxBufferedBytes+1))
	if err != nil || len(body) > maxBufferedBytes || !head.Framed {
		exchange.Abort()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.handleResponseLost(attempt, err)
	}
	exchange.Finish()
	if head.Status >= http.StatusInternalServerError {
		attempt.Failed()
		r.tried[attempt.Runner().Index] = true
		r.mayHaveRun = true
		if r.mayRetry(outcomeUnknown) {
			return outcomeRetryGranted, nil
		}
	} else {
		attempt.Progress()
		attempt.Done()
	}
	if stream != nil && stream.started() {
		return outcomeFinal, reject(CodeResponseTruncated) // the stream's head has been written; this response cannot continue it
	}
	if err := r.chart.advance(Completed); err != nil {
		return outcomeFinal, err
	}
	r.writeBuffered(head, body)
	return outcomeCompleted, nil
}

// writeBuffered writes a complete response to the client.
func (r *request) writeBuffered(head upstream.Head, body []byte) {
	copyHeader(r.writer.Header(), head.Header)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
	if r.httpRequest.Method != http.MethodHead {
		_, _ = r.writer.Write(body) // an error means that the client has disconnected
	}
}

// discard reads and drops a short response so that its connection can be reused. A read error is ignored: Finish closes the
// connection unless the response was read to its end.
func discard(exchange *upstream.Exchange) {
	_, _ = io.Copy(io.Discard, io.LimitReader(exchange.Body, maxDiscardedBytes))
	exchange.Finish()
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

// copyHeader copies a response's headers, except hop-by-hop headers and those named as connection options. It removes the latter
// from the original.
func copyHeader(to, from http.Header) {
	upstream.RemoveConnectionOptions(from)
	for key, values := range from {
		if !hopByHopHeaders[key] {
			to[key] = values
		}
	}
}
