package upstream

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// parsedEvent is an event as returned by Next.
type parsedEvent struct{ raw, id string }

// readEvents reads events until an error other than ErrIncompleteEvent. leftover is the incomplete event at the end.
func readEvents(source io.Reader) (events []parsedEvent, leftover string, err error) {
	r := NewEventReader(source)
	for {
		raw, id, err := r.Next()
		switch {
		case err == nil:
			events = append(events, parsedEvent{string(raw), id})
		case errors.Is(err, ErrIncompleteEvent):
			leftover = string(raw)
		default:
			return events, leftover, err
		}
	}
}

// segmentReader is an io.Reader whose reads do not cross the end of a segment. After the last segment it returns end.
type segmentReader struct {
	segments []string
	end      error
}

func (r *segmentReader) Read(b []byte) (int, error) {
	if len(r.segments) == 0 {
		return 0, r.end
	}
	n := copy(b, r.segments[0])
	if r.segments[0] = r.segments[0][n:]; r.segments[0] == "" {
		r.segments = r.segments[1:]
	}
	return n, nil
}

const testStream = "\ufeffid: first\ndata: a\n\n" +
	"\n: comment\n\ndata: b\r\n\r\n" +
	"id:3\r\ndata\n\r\n" +
	"id: 4\nid: 5\ndata: c\n\n" +
	"id\n\n" +
	"id: a\x00b\n\n"

var testStreamEvents = []parsedEvent{
	{"\ufeffid: first\ndata: a\n\n", "first"},
	{"\n: comment\n\ndata: b\r\n\r\n", ""},
	{"id:3\r\ndata\n\r\n", "3"},
	{"id: 4\nid: 5\ndata: c\n\n", "5"},
	{"id\n\n", ""},
	{"id: a\x00b\n\n", ""},
}

func TestEventsSplitAnywhere(t *testing.T) {
	for first := 0; first <= len(testStream); first++ {
		for second := first; second <= len(testStream); second++ {
			source := &segmentReader{[]string{testStream[:first], testStream[first:second], testStream[second:]}, io.EOF}
			events, leftover, err := readEvents(source)
			if !reflect.DeepEqual(events, testStreamEvents) || leftover != "" || err != io.EOF {
				t.Fatalf("split at %d and %d: %q, leftover %q, %v", first, second, events, leftover, err)
			}
		}
	}
	events, _, err := readEvents(iotest.OneByteReader(strings.NewReader(testStream)))
	if !reflect.DeepEqual(events, testStreamEvents) || err != io.EOF {
		t.Fatalf("%q, %v", events, err)
	}
	events, _, err = readEvents(iotest.DataErrReader(strings.NewReader(testStream)))
	if !reflect.DeepEqual(events, testStreamEvents) || err != io.EOF {
		t.Fatalf("%q, %v", events, err)
	}
}

func TestEventsEndAnywhere(t *testing.T) {
	for at := range len(testStream) {
		wantEvents, remainder := []parsedEvent(nil), testStream[:at]
		for _, event := range testStreamEvents {
			if !strings.HasPrefix(remainder, event.raw) {
				break
			}
			wantEvents = append(wantEvents, event)
			remainder = remainder[len(event.raw):]
		}
		for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
			wantLeftover := remainder
			if end != io.EOF {
				wantLeftover = ""
			}
			events, leftover, err := readEvents(&segmentReader{[]string{testStream[:at]}, end})
			if !reflect.DeepEqual(events, wantEvents) || leftover != wantLeftover || err != end {
				t.Fatalf("end %v at %d: %q, leftover %q, %v", end, at, events, leftover, err)
			}
		}
	}
}

func TestEventIsReturnedOnceComplete(t *testing.T) {
	near, far := io.Pipe()
	defer func() { _ = near.Close() }()
	written := make(chan struct{})
	go func() {
		_, _ = io.WriteString(far, "data: a\n\ndata: b\n\ndata: ")
		close(written)
	}()
	r := NewEventReader(near)
	if r.Ready() {
		t.Fatal("ready before anything was read")
	}
	if raw, _, err := r.Next(); err != nil || string(raw) != "data: a\n\n" {
		t.Fatalf("%q, %v", raw, err)
	}
	<-written
	if !r.Ready() {
		t.Fatal("the second event is not ready")
	}
	if raw, _, err := r.Next(); err != nil || string(raw) != "data: b\n\n" {
		t.Fatalf("%q, %v", raw, err)
	}
	if r.Ready() {
		t.Fatal("an incomplete event is ready")
	}
}

func TestEventSize(t *testing.T) {
	largestEvent := "data: " + strings.Repeat("a", MaxEventBytes-len("data: \n\n")) + "\n\n"
	for _, singleRead := range []bool{true, false} {
		for _, test := range []struct {
			text string
			want error
		}{{largestEvent, io.EOF}, {"x" + largestEvent, ErrEventTooLarge}, {strings.Repeat("a", MaxEventBytes+1), ErrEventTooLarge}} {
			source := &segmentReader{[]string{"data: before\n\n" + test.text + "data: after\n\n"}, io.EOF}
			if !singleRead {
				text := source.segments[0]
				source.segments = nil
				for len(text) > 0 {
					n := min(1000, len(text))
					source.segments, text = append(source.segments, text[:n]), text[n:]
				}
			}
			events, leftover, err := readEvents(source)
			count := 1
			if test.want == io.EOF {
				count = 3
			}
			if len(events) != count || leftover != "" || !errors.Is(err, test.want) {
				t.Fatalf("%d events, leftover of %d bytes, %v", len(events), len(leftover), err)
			}
		}
	}
}

func TestEventsFromSourceWithoutProgress(t *testing.T) {
	r := NewEventReader(readerFunc(func([]byte) (int, error) { return 0, nil }))
	if _, _, err := r.Next(); err != io.ErrNoProgress {
		t.Fatal(err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// referenceEvents splits a complete stream in the simplest way. Its result is compared with that of EventReader.
func referenceEvents(text string) (events []parsedEvent, leftover string) {
	var event parsedEvent
	field, first := false, true
	for text != "" {
		end := strings.IndexByte(text, '\n') + 1
		if end == 0 {
			return events, event.raw + text
		}
		line := strings.TrimSuffix(text[:end-1], "\r")
		if first {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		first = false
		event.raw, text = event.raw+text[:end], text[end:]
		if line == "" && field {
			events, event, field = append(events, event), parsedEvent{}, false
			continue
		}
		if line == "" || line[0] == ':' {
			continue
		}
		field = true
		if id, ok := strings.CutPrefix(line, "id:"); ok && !strings.Contains(id, "\x00") {
			event.id = strings.TrimPrefix(id, " ")
		} else if line == "id" {
			event.id = ""
		}
	}
	return events, event.raw
}

// checkEvents compares EventReader with referenceEvents on text. A segment is one byte longer than its entry in sizes, which
// repeats; without sizes, text is a single segment.
func checkEvents(t interface{ Fatalf(string, ...any) }, text string, sizes []int) {
	source := &segmentReader{end: io.EOF}
	left := text
	for i := 0; left != ""; i++ {
		n := len(left)
		if len(sizes) > 0 {
			n = min(n, 1+sizes[i%len(sizes)])
		}
		source.segments, left = append(source.segments, left[:n]), left[n:]
	}
	want, wantLeftover := referenceEvents(text)
	events, leftover, err := readEvents(source)
	if !reflect.DeepEqual(events, want) || leftover != wantLeftover || err != io.EOF {
		t.Fatalf("%q in segments %v: %q, leftover %q, %v; want %q, %q", text, sizes, events, leftover, err, want, wantLeftover)
	}
}

func TestEventsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"\n", "\r\n", "\r", ":", "id: 1", "id:", "id", "data: x", " ", "\x00", "\ufeff", strings.Repeat("y", initialEventBufferBytes-1)})).Draw(t, "parts")
		sizes := rapid.SliceOf(rapid.IntRange(0, 9000)).Draw(t, "sizes")
		checkEvents(t, strings.Join(parts, ""), sizes)
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte(testStream), []byte{0})
	f.Add([]byte("data: a\r\n\r\nid: 2"), []byte{})
	f.Fuzz(func(t *testing.T, text, segmentSizes []byte) {
		var sizes []int
		for _, size := range segmentSizes {
			sizes = append(sizes, int(size))
		}
		checkEvents(t, string(text), sizes)
	})
}

func BenchmarkEventReader(b *testing.B) {
	event := []byte("id: 17\ndata: {\"token\":\"word\"}\n\n")
	many := bytes.Repeat(event, 1000)
	source := bytes.NewReader(many)
	r := NewEventReader(readerFunc(func(buffer []byte) (int, error) {
		if source.Len() == 0 {
			source.Reset(many)
		}
		return source.Read(buffer[:min(len(buffer), len(event))])
	}))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
