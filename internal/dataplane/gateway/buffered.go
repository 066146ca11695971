package gateway

import (
	"io"
	"net/http"
	"strconv"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

const (
	maxBufferedBytes  = 8 << 20  // of a response that is buffered before it is forwarded
	maxDiscardedBytes = 64 << 10 // of an unwanted response that are read to keep its connection
)

// forwardBuffered reads a response to its framed end before a byte of it is forwarded: a client never sees a part of a
// response for a complete one, and a failure can still be retried.
func (r *request) forwardBuffered(chosen *balance.Attempt, exchange *upstream.Exchange, head upstream.Head, stream *streamResponse) (attemptOutcome, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxBufferedBytes+1))
	if err != nil || len(body) > maxBufferedBytes || !head.Framed {
		exchange.Abort()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.responseLost(chosen, err)
	}
	exchange.Finish()
	if head.Status >= http.StatusInternalServerError {
		chosen.Failed()
		r.tried[chosen.Runner().Index] = true
		r.mayHaveRun = true
		if r.mayRetry(outcomeUnknown) {
			return outcomeRetryGranted, nil
		}
	} else {
		chosen.Progress()
		chosen.Done()
	}
	if stream != nil && stream.started() {
		return outcomeFinal, reject(CodeResponseCut) // the response's head is out already: this cannot continue it
	}
	if err := r.chart.advance(Completed); err != nil {
		return outcomeFinal, err
	}
	r.writeBuffered(head, body)
	return outcomeEnded, nil
}

// writeBuffered forwards a complete response.
func (r *request) writeBuffered(head upstream.Head, body []byte) {
	copyHeader(r.writer.Header(), head.Header)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
	if r.client.Method != http.MethodHead {
		_, _ = r.writer.Write(body) // it fails where the client is gone: nobody is left to be told
	}
}

// discard reads a short response away so that its connection can be used again. Finish judges the connection by what
// was read, whether the reading failed or not.
func discard(exchange *upstream.Exchange) {
	_, _ = io.Copy(io.Discard, io.LimitReader(exchange.Body, maxDiscardedBytes))
	exchange.Finish()
}

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

// copyHeader copies a runner's headers for the client, but for those that concern one connection only.
func copyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, value := range from.Values("Connection") {
		named[http.CanonicalHeaderKey(value)] = true
	}
	for key, values := range from {
		if !hopHeaders[key] && !named[key] {
			to[key] = values
		}
	}
}
