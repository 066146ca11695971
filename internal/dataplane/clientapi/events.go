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

// readEvent reads one server-sent event, including the blank line that ends it.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for lineStart := 0; ; { // offset of the current line; a line longer than the buffer takes several reads
		fragment, err := in.ReadSlice('\n')
		event = append(event, fragment...)
		if err != nil && err != bufio.ErrBufferFull {
			return event, err
		}
		if len(event) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err != nil {
			continue
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			return event, nil
		}
		lineStart = len(event)
	}
}

var errEventTooLarge = &Rejection{Status: 502, Code: CodeEventTooLarge, OutcomeUnknown: true, Message: "A piece of the runner's stream is too large."}

// isLastEvent reports whether an event is the one with which a runner marks its stream as complete.
func isLastEvent(event []byte) bool { return bytes.HasPrefix(event, []byte("data: [DONE]")) }

// endEvent is the event that marks a stream as complete.
const endEvent = "data: [DONE]\n\n"

// numberEvent adds a chunk's number to its event as the id field, after any id that the runner set: the last one counts.
func numberEvent(event []byte, number int) []byte {
	numbered := append([]byte{}, bytes.TrimRight(event, "\r\n")...)
	return append(numbered, fmt.Sprintf("\nid: %d\n\n", number)...)
}

// errorEvent returns the event that ends a stream with an error.
func errorEvent(code Code, message, id string) []byte {
	raw, _ := json.Marshal(RejectionBody{RejectionError{Code: code, Message: message, RequestID: id, Run: "unknown"}})
	return append(append([]byte("event: trouble\ndata: "), raw...), '\n', '\n')
}

// eventReader reads the events of one run and compares them with those recorded of earlier runs.
type eventReader struct {
	in       *bufio.Reader
	recorded int  // events recorded of earlier runs
	received int  // events of this run so far, without the end event
	complete bool // the end event was received
}

// maxBatchEvents limits how many events are replicated and forwarded together.
const maxBatchEvents = 64

// next waits for an event and reads it and those already buffered. batch contains the new events, beyond the recorded ones,
// with their numbers; count includes the recorded ones. Events read before an error are returned with the error.
func (e *eventReader) next(stream *streamstore.Stream) (batch [][]byte, count int, err error) {
	for {
		event, err := readEvent(e.in)
		if err != nil || e.complete && len(event) > 0 {
			if len(event) > 0 {
				err = io.ErrUnexpectedEOF // an incomplete event, or one after the end event
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
