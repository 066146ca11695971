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

// clientReturnTimeout is how long a stream continues after its client has disconnected, so that the client can resume it.
const clientReturnTimeout = 30 * time.Second

// forwardStream forwards one run of a stream: each chunk is numbered, replicated to the standby, and only then sent to the
// client. A rerun must first repeat the recorded chunks byte for byte before it adds new ones. The end event is sent to the
// client only after both the runner's end event and the end of its response body have been read.
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

var errClientLeft = errors.New("client disconnected")
