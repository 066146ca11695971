package clientapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/lib/faultinjection"
)

// readEvent reads one server-sent event, its blank line included.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var out []byte
	for line := 0; ; { // where the present line begins: a long one comes in several reads
		part, err := in.ReadSlice('\n')
		out = append(out, part...)
		if err != nil && err != bufio.ErrBufferFull {
			return out, err
		}
		if len(out) > maxEventBytes {
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

var errEventTooLarge = &Rejection{Status: 502, Code: CodeEventTooLarge, OutcomeUnknown: true, Message: "A piece of the runner's stream is too large."}

// isLastEvent reports whether an event is the one by which a runner says that the stream is complete.
func isLastEvent(event []byte) bool { return bytes.HasPrefix(event, []byte("data: [DONE]")) }

// endEvent tells a client that a stream is complete.
const endEvent = "data: [DONE]\n\n"

// numberEvent puts a chunk's number into its event, after any the runner set.
func numberEvent(event []byte, number int) []byte {
	out := append([]byte{}, bytes.TrimRight(event, "\r\n")...)
	return append(out, fmt.Sprintf("\nid: %d\n\n", number)...)
}

// errorEvent is the event that ends a stream explicitly.
func errorEvent(code Code, text, id string) []byte {
	raw, _ := json.Marshal(RejectionBody{RejectionError{Code: code, Message: text, RequestID: id, Run: "unknown"}})
	return append(append([]byte("event: trouble\ndata: "), raw...), '\n', '\n')
}

// eventReader reads the events of one run, and compares them with those of an earlier run.
type eventReader struct {
	in       *bufio.Reader
	recorded int // events that an earlier run gave
	received int // events of this run
	complete bool
}

// maxBatchEvents is how many events are replicated and forwarded together at the most.
const maxBatchEvents = 64

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
		e.received++
		count++
		if numbered := numberEvent(event, e.received); e.received > e.recorded {
			batch = append(batch, numbered)
		} else if !stream.Matches(e.received-1, numbered) && !faultinjection.Disabled("same") {
			return nil, 0, errReplayDiffers
		}
		if e.in.Buffered() == 0 || count >= maxBatchEvents {
			return batch, count, nil
		}
	}
}
