package clientapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/lib/faultinjection"
)

// keepForClient is how long a stream runs on for a client that may come back.
const keepForClient = 30 * time.Second

// readEvent reads one server-sent event, its blank line included.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var out []byte
	for line := 0; ; { // where the present line begins: a long one comes in several reads
		part, err := in.ReadSlice('\n')
		out = append(out, part...)
		if err != nil && err != bufio.ErrBufferFull {
			return out, err
		}
		if len(out) > maxEvent {
			return nil, errEventTooLarge
		}
		if err != nil {
			continue
		}
		if len(bytes.TrimRight(out[line:], "\r\n")) == 0 {
			return out, nil
		}
		line = len(out)
	}
}

var errEventTooLarge = &Rejection{Status: 502, Code: "piece-too-large", OutcomeUnknown: true, Message: "A piece of the runner's stream is too large."}

// isLastEvent reports whether an event is the runner's own word that the stream is complete.
func isLastEvent(event []byte) bool { return bytes.HasPrefix(event, []byte("data: [DONE]")) }

// endEvent tells a client that a stream is complete.
const endEvent = "data: [DONE]\n\n"

// numberEvent puts a piece's number into its event, after any the runner set.
func numberEvent(event []byte, number int) []byte {
	out := append([]byte{}, bytes.TrimRight(event, "\r\n")...)
	return append(out, fmt.Sprintf("\nid: %d\n\n", number)...)
}

// errorEvent is the event that ends a stream explicitly.
func errorEvent(code, text, id string) []byte {
	raw, _ := json.Marshal(RejectionBody{RejectionError{Code: code, Message: text, RequestID: id, Run: "unknown"}})
	return append(append([]byte("event: trouble\ndata: "), raw...), '\n', '\n')
}

// eventReader reads the events of one run, and holds them against those of an earlier run.
type eventReader struct {
	in       *bufio.Reader
	held     int // events that an earlier run gave
	seen     int // events of this run
	complete bool
}

// batchMost is how many events are handed on together at the most.
const batchMost = 64

// next reads the events that are there now, at least one. batch has those that no earlier run gave, with
// their numbers; count is of all. Beside an error there may be events that came before it.
func (e *eventReader) next(stream *streamstore.Stream) (batch [][]byte, count int, err error) {
	for {
		event, err := readEvent(e.in)
		if err != nil || e.complete && len(event) > 0 {
			if len(event) > 0 {
				err = io.ErrUnexpectedEOF // half an event, or one after the end
			}
			return batch, count, err
		}
		if e.complete = isLastEvent(event); e.complete {
			continue
		}
		e.seen++
		count++
		if numbered := numberEvent(event, e.seen); e.seen > e.held {
			batch = append(batch, numbered)
		} else if !stream.Matches(e.seen-1, numbered) && !faultinjection.Disabled("same") {
			return nil, 0, errDiffers
		}
		if e.in.Buffered() == 0 || count >= batchMost {
			return batch, count, nil
		}
	}
}

// sendStream carries one run of a stream piece by piece: each is numbered, held by the standby, and
// only then shown. A second run has to repeat, byte for byte, what is held, before it adds to it. The
// end event is handed over only after the runner's own end has been read to its frame.
func (x *exchange) sendStream(ctx context.Context, slot *runner.Slot, response *http.Response, watchdog *time.Timer) error {
	carrier := x.carrier
	if carrier.stream == nil {
		carrier.open(x, response)
	}
	held, _ := carrier.stream.Replayable()
	events := &eventReader{in: bufio.NewReaderSize(response.Body, 16<<10), held: held}
	for {
		batch, count, err := events.next(carrier.stream)
		if err == errDiffers {
			return err
		}
		watchdog.Reset(x.lane.StallTimeout)
		if count > 0 {
			slot.AddTokens(count)
		}
		if len(batch) > 0 {
			if err := x.server.Streams.Append(ctx, carrier.stream, batch); err != nil {
				return errTaken
			}
			carrier.write(bytes.Join(batch, nil))
		}
		if err == io.EOF && events.complete {
			break
		}
		if err != nil {
			var rejection *Rejection
			if !errors.As(err, &rejection) {
				err = x.runnerLost(slot, ctx, err)
			}
			return err
		}
	}
	if events.seen < held {
		return errDiffers
	}
	if x.server.Streams.Close(ctx, carrier.stream, "") != nil {
		return errTaken
	}
	if err := x.request.Advance(request.Done, ""); err != nil {
		return err
	}
	carrier.write([]byte(endEvent))
	return nil
}

var errClientLeft = errors.New("the origin left")
