package clientapi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
)

// clientReturnTimeout is how long a stream runs on for a client that may come back.
const clientReturnTimeout = 30 * time.Second

// forwardStream forwards one run of a stream chunk by chunk: each is numbered, replicated to the standby, and only then
// sent to the client. A second run has to repeat, byte for byte, what is replicated, before it adds to it. The end event is
// forwarded only after the runner's own end has been read to its frame.
func (e *exchange) forwardStream(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) error {
	resumable := e.resumable
	if resumable.stored == nil {
		resumable.begin(e, response)
	}
	recorded, _ := resumable.stored.Replayable()
	events := &eventReader{in: bufio.NewReaderSize(response.Body, 16<<10), recorded: recorded}
	for {
		batch, count, err := events.next(resumable.stored)
		if err == errReplayDiffers {
			return err
		}
		watchdog.Reset(e.class.StallTimeout)
		if count > 0 {
			slot.AddTokens(count)
		}
		if len(batch) > 0 {
			if err := e.server.Streams.Append(ctx, resumable.stored, batch); err != nil {
				return errTakenOver
			}
			resumable.write(bytes.Join(batch, nil))
		}
		if err == io.EOF && events.complete {
			break
		}
		if err != nil {
			var rejection *Rejection
			if !errors.As(err, &rejection) {
				err = e.runnerFailed(ctx, slot, err)
			}
			return err
		}
	}
	if events.received < recorded {
		return errReplayDiffers
	}
	if e.server.Streams.Close(ctx, resumable.stored, "") != nil {
		return errTakenOver
	}
	if err := e.request.Advance(request.Done, ""); err != nil {
		return err
	}
	resumable.write([]byte(endEvent))
	return nil
}

var errClientLeft = errors.New("the origin left")
