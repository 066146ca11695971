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

// told is one response of Next.
type told struct{ raw, id string }

// readEvents reads until an error other than ErrIncompleteEvent, and gives the leftover apart.
func readEvents(source io.Reader) (events []told, leftover string, err error) {
	r := NewEventReader(source)
	for {
		raw, id, err := r.Next()
		switch {
		case err == nil:
			events = append(events, told{string(raw), id})
		case errors.Is(err, ErrIncompleteEvent):
			leftover = string(raw)
		default:
			return events, leftover, err
		}
	}
}

// pieces is a source whose reads end where the pieces end.
type pieces struct {
	left []string
	end  error
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, p.end
	}
	n := copy(b, p.left[0])
	if p.left[0] = p.left[0][n:]; p.left[0] == "" {
		p.left = p.left[1:]
	}
	return n, nil
}

const stream = "\ufeffid: first\ndata: a\n\n" +
	"\n: comment\n\ndata: b\r\n\r\n" +
	"id:3\r\ndata\n\r\n" +
	"id: 4\nid: 5\ndata: c\n\n" +
	"id\n\n" +
	"id: a\x00b\n\n"

var streamEvents = []told{
	{"\ufeffid: first\ndata: a\n\n", "first"},
	{"\n: comment\n\ndata: b\r\n\r\n", ""},
	{"id:3\r\ndata\n\r\n", "3"},
	{"id: 4\nid: 5\ndata: c\n\n", "5"},
	{"id\n\n", ""},
	{"id: a\x00b\n\n", ""},
}

func TestEventsSplitAnywhere(t *testing.T) {
	for first := 0; first <= len(stream); first++ {
		for second := first; second <= len(stream); second++ {
			source := &pieces{[]string{stream[:first], stream[first:second], stream[second:]}, io.EOF}
			events, leftover, err := readEvents(source)
			if !reflect.DeepEqual(events, streamEvents) || leftover != "" || err != io.EOF {
				t.Fatalf("split at %d and %d: %q, leftover %q, %v", first, second, events, leftover, err)
			}
		}
	}
	events, _, err := readEvents(iotest.OneByteReader(strings.NewReader(stream)))
	if !reflect.DeepEqual(events, streamEvents) || err != io.EOF {
		t.Fatalf("%q, %v", events, err)
	}
	events, _, err = readEvents(iotest.DataErrReader(strings.NewReader(stream)))
	if !reflect.DeepEqual(events, streamEvents) || err != io.EOF {
		t.Fatalf("%q, %v", events, err)
	}
}

func TestEventsEndAnywhere(t *testing.T) {
	for at := range len(stream) {
		wantEvents, part := []told(nil), stream[:at]
		for _, event := range streamEvents {
			if !strings.HasPrefix(part, event.raw) {
				break
			}
			wantEvents = append(wantEvents, event)
			part = part[len(event.raw):]
		}
		for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
			wantPart := part
			if end != io.EOF {
				wantPart = ""
			}
			events, leftover, err := readEvents(&pieces{[]string{stream[:at]}, end})
			if !reflect.DeepEqual(events, wantEvents) || leftover != wantPart || err != end {
				t.Fatalf("end %v at %d: %q, leftover %q, %v", end, at, events, leftover, err)
			}
		}
	}
}

func TestEventIsGivenAsSoonAsItIsWhole(t *testing.T) {
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
		t.Fatal("a part is ready")
	}
}

func TestEventSize(t *testing.T) {
	atMost := "data: " + strings.Repeat("a", MaxEventBytes-len("data: \n\n")) + "\n\n"
	for _, whole := range []bool{true, false} {
		for _, test := range []struct {
			text string
			want error
		}{{atMost, io.EOF}, {"x" + atMost, ErrEventTooLarge}, {strings.Repeat("a", MaxEventBytes+1), ErrEventTooLarge}} {
			source := &pieces{[]string{"data: before\n\n" + test.text + "data: after\n\n"}, io.EOF}
			if !whole {
				text := source.left[0]
				source.left = nil
				for len(text) > 0 {
					n := min(1000, len(text))
					source.left, text = append(source.left, text[:n]), text[n:]
				}
			}
			events, leftover, err := readEvents(source)
			count := 1
			if test.want == io.EOF {
				count = 3
			}
			if len(events) != count || leftover != "" || !errors.Is(err, test.want) {
				t.Fatalf("%d events, %d bytes left, %v", len(events), len(leftover), err)
			}
		}
	}
}

func TestEventsFromASourceThatGivesNothing(t *testing.T) {
	r := NewEventReader(readerFunc(func([]byte) (int, error) { return 0, nil }))
	if _, _, err := r.Next(); err != io.ErrNoProgress {
		t.Fatal(err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// plainEvents cuts a whole stream in the plainest way, to compare with.
func plainEvents(text string) (events []told, leftover string) {
	var event told
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
			events, event, field = append(events, event), told{}, false
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

func checkEvents(t interface{ Fatalf(string, ...any) }, text string, sizes []int) {
	source := &pieces{end: io.EOF}
	left := text
	for i := 0; left != ""; i++ {
		n := len(left)
		if len(sizes) > 0 {
			n = min(n, 1+sizes[i%len(sizes)])
		}
		source.left, left = append(source.left, left[:n]), left[n:]
	}
	want, wantLeftover := plainEvents(text)
	events, leftover, err := readEvents(source)
	if !reflect.DeepEqual(events, want) || leftover != wantLeftover || err != io.EOF {
		t.Fatalf("%q in pieces %v: %q, leftover %q, %v; want %q, %q", text, sizes, events, leftover, err, want, wantLeftover)
	}
}

func TestEventsLikeThePlainest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"\n", "\r\n", "\r", ":", "id: 1", "id:", "id", "data: x", " ", "\x00", "\ufeff", strings.Repeat("y", initialEventBufferBytes-1)})).Draw(t, "parts")
		sizes := rapid.SliceOf(rapid.IntRange(0, 9000)).Draw(t, "sizes")
		checkEvents(t, strings.Join(parts, ""), sizes)
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte(stream), []byte{0})
	f.Add([]byte("data: a\r\n\r\nid: 2"), []byte{})
	f.Fuzz(func(t *testing.T, text, pieces []byte) {
		var sizes []int
		for _, size := range pieces {
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
