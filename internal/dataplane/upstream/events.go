package upstream

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEventBytes is the maximum size of an event, including the blank line at its end.
const MaxEventBytes = 1 << 20

const (
	initialEventBufferBytes = 4 << 10
	maxEmptyReads           = 100 // consecutive reads that return neither a byte nor an error
)

var (
	// ErrIncompleteEvent means that the stream ended within an event. Next returns it with the bytes of that event.
	ErrIncompleteEvent = errors.New("event stream ends within an event")
	// ErrEventTooLarge means that an event is larger than MaxEventBytes.
	ErrEventTooLarge = errors.New("event is too large")
)

// EventReader splits a text/event-stream into events. Lines end with \n or \r\n. An event ends with the first blank line
// after a field; comments and blank lines before its first field belong to it.
type EventReader struct {
	source        io.Reader
	buffer        []byte
	eventStart    int    // offset of the current event in buffer
	lineStart     int    // offset of the current line in buffer
	scanned       int    // buffer[lineStart:scanned] has no line end
	hasField      bool   // the current event has a field
	id            []byte // id of the current event; a slice of buffer
	complete      bool   // buffer[eventStart:lineStart] is a complete event
	err           error  // error of the source, ErrEventTooLarge or io.ErrNoProgress
	firstLineDone bool   // the first line of the stream, which may start with a byte order mark, was read
}

// NewEventReader returns an EventReader that reads from source, usually the Body of an Exchange.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event as soon as it is complete: its unchanged bytes, including the blank line, and its id ("" if it
// has none). raw is valid until the next call. Errors:
//
//   - io.EOF: the source ended after a complete event;
//   - ErrIncompleteEvent: the source ended within an event, whose bytes are returned as raw; the next call returns io.EOF;
//   - ErrEventTooLarge: the event is larger than MaxEventBytes;
//   - io.ErrNoProgress: the source returned neither a byte nor an error too often;
//   - any other error of the source, such as io.ErrUnexpectedEOF; the bytes of an incomplete event are dropped.
func (r *EventReader) Next() (raw []byte, id string, err error) {
	if r.Await() != nil {
		return r.endResult()
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

// Await reads until Next can return an event without reading from the source, or a read fails. Its error is the one that ends the
// stream; Next then returns it, or first the bytes of an incomplete event.
func (r *EventReader) Await() error {
	for empty := 0; !r.Ready(); {
		if len(r.buffer)-r.eventStart > MaxEventBytes {
			r.err = eris.Wrapf(ErrEventTooLarge, "upstream: more than %d bytes", MaxEventBytes)
		}
		if r.err != nil {
			return r.err
		}
		n := r.fill()
		if empty++; n > 0 {
			empty = 0
		}
		if empty > maxEmptyReads && r.err == nil {
			r.err = io.ErrNoProgress
		}
	}
	return nil
}

// Ready reports whether Next can return an event without reading from the source.
func (r *EventReader) Ready() bool {
	for !r.complete {
		length := bytes.IndexByte(r.buffer[r.scanned:], '\n')
		if length < 0 {
			r.scanned = len(r.buffer)
			return false
		}
		next := r.scanned + length + 1
		r.parseLine(r.buffer[r.lineStart : next-1])
		r.lineStart, r.scanned = next, next
	}
	return true
}

// parseLine updates the state of the current event with a line, given without its \n.
func (r *EventReader) parseLine(line []byte) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.firstLineDone {
		line = bytes.TrimPrefix(line, []byte("\ufeff"))
		r.firstLineDone = true
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

// fill reads once from the source into the buffer and returns the number of bytes read.
func (r *EventReader) fill() int {
	r.growBuffer()
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
	return n
}

// growBuffer makes room in the buffer: it moves the current event to the front, and enlarges the buffer if that is full.
func (r *EventReader) growBuffer() {
	if len(r.buffer) < cap(r.buffer) && r.eventStart == 0 {
		return
	}
	event := r.buffer[r.eventStart:]
	target := r.buffer[:0]
	if len(event) == cap(r.buffer) {
		target = make([]byte, 0, max(initialEventBufferBytes, 2*cap(r.buffer)))
	}
	id := bytes.Clone(r.id) // r.id refers to the bytes that are moved
	r.buffer = append(target, event...)
	r.id = id
	r.lineStart -= r.eventStart
	r.scanned -= r.eventStart
	r.eventStart = 0
}

// endResult returns the results of Next after an error, and drops the buffer.
func (r *EventReader) endResult() (raw []byte, id string, err error) {
	raw = r.buffer[r.eventStart:]
	r.buffer, r.eventStart, r.lineStart, r.scanned = nil, 0, 0, 0
	if r.err == io.EOF && len(raw) > 0 {
		return raw, "", ErrIncompleteEvent
	}
	return nil, "", r.err
}
