package clientapi

import (
	"context"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
)

// resumableStream is what the runs of one stream have in common: its chunks, and the client that it is sent to. Only the
// goroutine of its request uses it.
type resumableStream struct {
	id              string // of the stream: the first run's request
	stored          *streamstore.Stream
	client          *clientWriter   // nil where the client resumes it by itself
	ctx             context.Context // of all runs
	cancel          context.CancelCauseFunc
	clientGoneTimer *time.Timer // runs once the client is gone
}

func (e *exchange) newResumableStream() *resumableStream {
	resumable := &resumableStream{id: e.request.ID, client: e.newClientWriter()}
	resumable.ctx, resumable.cancel = context.WithCancelCause(e.server.Ctx) // it runs on without its client, not without its router
	return resumable
}

// open begins the stream with its first run's headers.
func (c *resumableStream) begin(e *exchange, response *http.Response) {
	var saved *streamstore.SavedRequest
	if e.class.RepeatLostStreams {
		header := runner.ForwardedHeader(e.incoming.Header)
		header.Del("Authorization")
		saved = &streamstore.SavedRequest{Method: e.incoming.Method, Path: e.incoming.URL.RequestURI(), Header: header, Body: e.body, KeyHash: e.keyHash}
	}
	c.stored = e.server.Streams.Open(c.id, e.request.Tenant, saved)
	e.copyHeader(response)
	e.writer.Header().Set(runner.RequestHeader, c.id)
	e.writer.Header().Del("Content-Length") // chunks get their numbers
	e.writer.WriteHeader(http.StatusOK)
}

// write sends bytes to the client, if it is there. One that is gone may resume the stream for a while.
func (c *resumableStream) write(data []byte) {
	if c.client != nil && c.clientGoneTimer == nil && !c.client.write(data) {
		c.clientGoneTimer = time.AfterFunc(clientReturnTimeout, func() { c.cancel(errClientLeft) })
	}
}

var (
	errReplayDiffers = &Rejection{Status: 502, Code: CodeReplayDiffers, OutcomeUnknown: true, Message: "The run was lost, and a second one was not the same."}
	errTakenOver     = &Rejection{Code: CodeTakenOver, OutcomeUnknown: true}
)
