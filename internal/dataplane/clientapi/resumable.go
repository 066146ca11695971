package clientapi

import (
	"context"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
)

// resumableStream is what the first run and the reruns of one stream share: the stored chunks and the connection to the
// client. Only the goroutine of the request uses it.
type resumableStream struct {
	id              string              // of the stream: the request ID of the first run
	stored          *streamstore.Stream // nil until the first response begins
	client          *clientWriter       // nil after a takeover: the client resumes the stream by itself
	ctx             context.Context     // of all runs
	cancel          context.CancelCauseFunc
	clientGoneTimer *time.Timer // cancels ctx some time after the client has disconnected; nil while it is connected
}

func (e *exchange) newResumableStream() *resumableStream {
	resumable := &resumableStream{id: e.request.ID, client: e.newClientWriter()}
	resumable.ctx, resumable.cancel = context.WithCancelCause(e.server.Ctx) // ends with the router, not with the client's connection
	return resumable
}

// begin opens the stream in the store and sends the headers of the first run's response to the client.
func (r *resumableStream) begin(e *exchange, response *http.Response) {
	var saved *streamstore.SavedRequest
	if e.class.RepeatLostStreams {
		header := runner.ForwardedHeader(e.incoming.Header)
		header.Del("Authorization")
		saved = &streamstore.SavedRequest{Method: e.incoming.Method, Path: e.incoming.URL.RequestURI(), Header: header, Body: e.body, KeyHash: e.keyHash}
	}
	r.stored = e.server.Streams.Open(r.id, e.request.Tenant, saved)
	e.copyHeader(response)
	e.writer.Header().Set(runner.RequestHeader, r.id)
	e.writer.Header().Del("Content-Length") // the numbers added to the events make the response longer
	e.writer.WriteHeader(http.StatusOK)
}

// write sends data to the client if it is connected. After a disconnect the stream goes on for clientReturnTimeout, so that
// the client can resume it.
func (r *resumableStream) write(data []byte) {
	if r.client != nil && r.clientGoneTimer == nil && !r.client.write(data) {
		r.clientGoneTimer = time.AfterFunc(clientReturnTimeout, func() { r.cancel(errClientLeft) })
	}
}

var (
	errReplayDiffers = &Rejection{Status: 502, Code: CodeReplayDiffers, OutcomeUnknown: true, Message: "The run was lost, and a second one was not the same."}
	errTakenOver     = &Rejection{Code: CodeTakenOver, OutcomeUnknown: true}
)
