package clientapi

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/lib/runloop"
)

// resumeTimeout is how long resume waits for a new chunk or the end of a stream. It equals the longest stall time-out that a
// traffic class may have.
const resumeTimeout = time.Hour

const (
	maxMisses   = 3                      // consecutive reads that find the stream at no router before it counts as lost
	missBackoff = 200 * time.Millisecond // between two such reads
)

// StreamPath is the path prefix at which clients resume streams; the stream's ID follows it.
const StreamPath = "/v1/streams/"

// resumeAfter returns the number of the last chunk that the client has; 0 if it has none.
func (e *exchange) resumeAfter() (int, error) {
	text := e.incoming.Header.Get("Last-Event-ID")
	if after := e.incoming.URL.Query().Get("after"); after != "" {
		text = after
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, &Rejection{Status: 400, Code: CodeBadEventID, Message: "after, or Last-Event-ID: the number of the last piece had is expected."}
	}
	return after, nil
}

// resume sends the client a stream from the chunk after the last one that it has, whichever router serves the stream.
func (e *exchange) resume() error {
	id := strings.TrimPrefix(e.incoming.URL.Path, StreamPath)
	if e.incoming.Method != http.MethodGet {
		return &Rejection{Status: 405, Code: CodeNoRoute, Message: "A stream is resumed with GET."}
	}
	after, err := e.resumeAfter()
	if err != nil {
		return err
	}
	e.request.Lane = "resume"
	client := e.newClientWriter()
	ctx, cancel := context.WithCancelCause(e.incoming.Context())
	defer cancel(nil)
	go e.watchKey(ctx, cancel)
	started := false
	deadline := time.Now().Add(resumeTimeout)
	misses := 0
	for !client.closed && e.incoming.Context().Err() == nil {
		response, err := e.server.Streams.Resume(ctx, id, e.tenant.Name, after)
		if misses++; err == nil {
			misses = 0
		}
		switch {
		case context.Cause(ctx) == errKeyWithdrawn:
			response = &streamstore.ReadResponse{Failure: string(errKeyWithdrawnRejection.Code)}
		case err != nil && misses < maxMisses && runloop.Sleep(ctx, missBackoff):
			continue // another router may be taking it over right now
		case err != nil && !started:
			return &Rejection{Status: 404, Code: CodeNoStream, OutcomeUnknown: true, Message: "No router within reach holds this stream for this tenant."}
		case err != nil || time.Now().After(deadline):
			response = &streamstore.ReadResponse{Failure: streamstore.CodeRouterLost}
		}
		if !started {
			started = true
			e.writer.Header().Set("Content-Type", "text/event-stream")
			e.writer.WriteHeader(http.StatusOK)
		}
		after += len(response.Chunks)
		client.write(bytes.Join(response.Chunks, nil))
		switch {
		case response.Complete:
			client.write([]byte(endEvent))
			return &Rejection{Code: CodeResumed}
		case response.Failure != "":
			client.write(errorEvent(Code(response.Failure), "The run behind this stream was lost, or its key withdrawn.", id))
			e.abortConnection = true
			return &Rejection{Code: Code(response.Failure), OutcomeUnknown: true}
		}
		if len(response.Chunks) > 0 {
			deadline = time.Now().Add(resumeTimeout)
		}
	}
	return &Rejection{Code: CodeClientLeft, OutcomeUnknown: true}
}
