package clientapi

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// Whatever a runner sends as a stream: its events are all of its bytes in their order, each but the last
// ends with a blank line, and a number put in adds one line to it and changes nothing else.
func FuzzEvent(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: 16 bytes..\nevent: x\n\n")) // a line as long as what is read at once
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
				t.Errorf("event %q ends with no blank line", event)
			}
			body := bytes.TrimRight(event, "\r\n")
			if got := string(numberEvent(event, 12)); got != string(body)+"\nid: 12\n\n" {
				t.Errorf("%q became %q", event, got)
			}
		}
		if !bytes.Equal(all, raw) {
			t.Errorf("%q was read as %q", raw, all)
		}
	})
}
