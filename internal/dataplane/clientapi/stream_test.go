package clientapi

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// For any bytes that a runner sends as a stream, the events read are together exactly these bytes, each event but the last
// ends with a blank line, and numberEvent adds one line to an event and leaves the others unchanged.
func FuzzEvent(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: 16 bytes..\nevent: x\n\n")) // a line as long as the read buffer
	f.Add([]byte("id: 7\r\ndata: b\r\n\r\n\n\ndata: cut"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bufio.NewReaderSize(bytes.NewReader(raw), 16)
		var all []byte
		for {
			event, err := readEvent(in)
			all = append(all, event...)
			if err != nil {
				if err != io.EOF {
					t.Fatal(err)
				}
				break
			}
			if len(bytes.TrimRight(event[max(0, len(event)-2):], "\r\n")) > 0 {
				t.Errorf("event %q does not end with a blank line", event)
			}
			body := bytes.TrimRight(event, "\r\n")
			if got := string(numberEvent(event, 12)); got != string(body)+"\nid: 12\n\n" {
				t.Errorf("numbered event %q: got %q, want only a line \"id: 12\" added", event, got)
			}
		}
		if !bytes.Equal(all, raw) {
			t.Errorf("got events that join to %q, want %q", all, raw)
		}
	})
}
