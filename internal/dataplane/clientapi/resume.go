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

// resumeTimeout is how long a resumed stream is waited for while nothing new comes and nobody says that it has ended: the
// longest stall time-out that any traffic class may have.
const resumeTimeout = time.Hour

// A stream that no router has is asked for so often before it counts as lost.
const (
	maxMisses   = 3
	missBackoff = 200 * time.Millisecond
)

// StreamPath is where a stream is resumed.
const StreamPath = "/v1/streams/"

// resumeAfter is the number of the last chunk that the client has.
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

// resume sends a stream from the chunk after the one that the client names, through any router.
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
	until := time.Now().Add(resumeTimeout)
	misses := 0
	for !client.closed && e.incoming.Context().Err() == nil {
		chunk, err := e.server.Streams.Resume(ctx, id, e.tenant.Name, after)
		if misses++; err == nil {
			misses = 0
		}
		switch {
		case context.Cause(ctx) == errKeyWithdrawn:
			chunk = &streamstore.ReadResponse{Failure: string(errKeyWithdrawnRejection.Code)}
		case err != nil && misses < maxMisses && runloop.Sleep(ctx, missBackoff):
			continue // it may just have been passed on from one router to the next
		case err != nil && !started:
			return &Rejection{Status: 404, Code: CodeNoStream, OutcomeUnknown: true, Message: "No router within reach holds this stream for this tenant."}
		case err != nil || time.Now().After(until):
			chunk = &streamstore.ReadResponse{Failure: streamstore.CodeRouterLost}
		}
		if !started {
			started = true
			e.writer.Header().Set("Content-Type", "text/event-stream")
			e.writer.WriteHeader(http.StatusOK)
		}
		after += len(chunk.Chunks)
		client.write(bytes.Join(chunk.Chunks, nil))
		switch {
		case chunk.Complete:
			client.write([]byte(endEvent))
			return &Rejection{Code: CodeResumed}
		case chunk.Failure != "":
			client.write(errorEvent(Code(chunk.Failure), "The run behind this stream was lost, or its key withdrawn.", id))
			e.abortConnection = true
			return &Rejection{Code: Code(chunk.Failure), OutcomeUnknown: true}
		}
		if len(chunk.Chunks) > 0 {
			until = time.Now().Add(resumeTimeout)
		}
	}
	return &Rejection{Code: CodeClientLeft, OutcomeUnknown: true}
}
