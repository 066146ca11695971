package upstream

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEventBytes is how large one event of a stream may be, its blank line included.
const MaxEventBytes = 1 << 20

const (
	firstEventBuffer = 4 << 10 // bytes
	maxEmptyReads    = 100     // reads that give neither a byte nor an error, in a row
)

var (
	// ErrIncompleteEvent comes with what stood behind the last complete event when the stream reached its end.
	ErrIncompleteEvent = errors.New("event stream ends within an event")
	// ErrEventTooLarge says that an event is larger than MaxEventBytes.
	ErrEventTooLarge = errors.New("event is too large")
)

// EventReader cuts a text/event-stream into its events. Lines end with \n or \r\n. An event ends with the
// first blank line after a field; comments and blank lines before its first field belong to it.
type EventReader struct {
	source        io.Reader
	buffer        []byte
	eventStart    int    // of the event in the buffer
	lineStart     int    // start of the line that is being looked at
	scanned       int    // up to here the line has no end
	hasField      bool   // the event has a field
	id            []byte // the event's id as a part of the buffer
	complete      bool   // an event reaches from start to line
	err           error  // what the source ended with
	pastFirstLine bool   // the first line of the stream is over
}

// NewEventReader reads events from source, usually an Exchange's Body.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next gives the next event as soon as it is complete: its bytes unchanged, with the blank line, and its id ("": none).
// raw is good until the next call. Errors:
//
//   - io.EOF: the source ended behind the last event;
//   - ErrIncompleteEvent: the source ended with io.EOF, but raw is a part that is no complete event; io.EOF follows;
//   - ErrEventTooLarge;
//   - otherwise the source's own error, such as io.ErrUnexpectedEOF; a part that it cut off is not returned.
func (r *EventReader) Next() (raw []byte, id string, err error) {
	for empty := 0; !r.Ready(); {
		if len(r.buffer)-r.eventStart > MaxEventBytes {
			r.err = eris.Wrapf(ErrEventTooLarge, "upstream: more than %d bytes", MaxEventBytes)
		}
		if r.err != nil {
			return r.end()
		}
		n := r.fill()
		if empty++; n > 0 {
			empty = 0
		}
		if empty > maxEmptyReads && r.err == nil {
			r.err = io.ErrNoProgress
		}
	}
	raw, id = r.buffer[r.eventStart:r.lineStart], string(r.id)
	if len(raw) > MaxEventBytes {
		r.err = eris.Wrapf(ErrEventTooLarge, "upstream: %d bytes", len(raw))
		r.buffer, r.eventStart, r.lineStart, r.scanned, r.complete = nil, 0, 0, 0, false
		return nil, "", r.err
	}
	r.eventStart, r.hasField, r.id, r.complete = r.lineStart, false, nil, false
	return raw, id, nil
}

// Ready reports whether Next has a complete event without reading from the source.
func (r *EventReader) Ready() bool {
	for !r.complete {
		length := bytes.IndexByte(r.buffer[r.scanned:], '\n')
		if length < 0 {
			r.scanned = len(r.buffer)
			return false
		}
		next := r.scanned + length + 1
		r.readLine(r.buffer[r.lineStart : next-1])
		r.lineStart, r.scanned = next, next
	}
	return true
}

// readLine notes what a line, without its \n, means for the event.
func (r *EventReader) readLine(line []byte) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.pastFirstLine {
		line = bytes.TrimPrefix(line, []byte("\ufeff"))
		r.pastFirstLine = true
	}
	switch {
	case len(line) == 0:
		r.complete = r.hasField
		return
	case line[0] == ':':
		return
	}
	r.hasField = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) == "id" && bytes.IndexByte(value, 0) < 0 {
		r.id = bytes.TrimPrefix(value, []byte(" "))
	}
}

// fill reads once from the source.
func (r *EventReader) fill() int {
	r.growBuffer()
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
	return n
}

// growBuffer moves the part of an event to the buffer's front, and makes the buffer larger when that is full.
func (r *EventReader) growBuffer() {
	if len(r.buffer) < cap(r.buffer) && r.eventStart == 0 {
		return
	}
	part := r.buffer[r.eventStart:]
	into := r.buffer[:0]
	if len(part) == cap(r.buffer) {
		into = make([]byte, 0, max(firstEventBuffer, 2*cap(r.buffer)))
	}
	id := bytes.Clone(r.id) // it points into the bytes that move
	r.buffer = append(into, part...)
	r.id = id
	r.lineStart -= r.eventStart
	r.scanned -= r.eventStart
	r.eventStart = 0
}

// end gives what is to be told once the source has ended.
func (r *EventReader) end() (raw []byte, id string, err error) {
	raw = r.buffer[r.eventStart:]
	r.buffer, r.eventStart, r.lineStart, r.scanned = nil, 0, 0, 0
	if r.err == io.EOF && len(raw) > 0 {
		return raw, "", ErrIncompleteEvent
	}
	return nil, "", r.err
}
