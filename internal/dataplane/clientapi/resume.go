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

// resumeWait is how long a resumed stream is waited for while nothing new comes and nobody says that
// it has ended: the longest silence that any lane may allow.
const resumeWait = time.Hour

// A stream that nobody holds is asked after so often before it counts as lost.
const (
	maxMisses = 3
	missWait  = 200 * time.Millisecond
)

// StreamPath is where a stream is resumed.
const StreamPath = "/v1/streams/"

// resumeAfter is the number of the last piece that the client has.
func (x *exchange) resumeAfter() (int, error) {
	text := x.incoming.Header.Get("Last-Event-ID")
	if after := x.incoming.URL.Query().Get("after"); after != "" {
		text = after
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, &Rejection{Status: 400, Code: "bad-piece", Message: "after, or Last-Event-ID: the number of the last piece had is expected."}
	}
	return after, nil
}

// resume carries on a stream at the piece after the one the client names, through any router.
func (x *exchange) resume() error {
	id := strings.TrimPrefix(x.incoming.URL.Path, StreamPath)
	if x.incoming.Method != http.MethodGet {
		return &Rejection{Status: 405, Code: "no-mapping", Message: "A stream is resumed with GET."}
	}
	after, err := x.resumeAfter()
	if err != nil {
		return err
	}
	x.request.Lane = "resume"
	client := x.newClientWriter()
	ctx, cancel := context.WithCancelCause(x.incoming.Context())
	defer cancel(nil)
	go x.watchKey(ctx, cancel)
	started := false
	until := time.Now().Add(resumeWait)
	misses := 0
	for !client.closed && x.incoming.Context().Err() == nil {
		told, err := x.server.Streams.Resume(ctx, id, x.tenant.Name, after)
		if misses++; err == nil {
			misses = 0
		}
		switch {
		case context.Cause(ctx) == errKeyWithdrawn:
			told = &streamstore.ReadResponse{Failure: rejectKey.Code}
		case err != nil && misses < maxMisses && runloop.Sleep(ctx, missWait):
			continue // it may just have been passed on from one router to the next
		case err != nil && !started:
			return &Rejection{Status: 404, Code: "no-stream", OutcomeUnknown: true, Message: "No router within reach holds this stream for this tenant."}
		case err != nil || time.Now().After(until):
			told = &streamstore.ReadResponse{Failure: streamstore.CodeRouterLost}
		}
		if !started {
			started = true
			x.writer.Header().Set("Content-Type", "text/event-stream")
			x.writer.WriteHeader(http.StatusOK)
		}
		after += len(told.Chunks)
		client.write(bytes.Join(told.Chunks, nil))
		switch {
		case told.Complete:
			client.write([]byte(endEvent))
			return &Rejection{Code: "resumed"}
		case told.Failure != "":
			client.write(errorEvent(told.Failure, "The run behind this stream was lost, or its key withdrawn.", id))
			x.abortConnection = true
			return &Rejection{Code: told.Failure, OutcomeUnknown: true}
		}
		if len(told.Chunks) > 0 {
			until = time.Now().Add(resumeWait)
		}
	}
	return &Rejection{Code: "origin-left", OutcomeUnknown: true}
}
