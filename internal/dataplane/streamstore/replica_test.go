package streamstore

import (
	"bytes"
	"testing"

	"yarrowridge/internal/transport/wire"
)

// A standby applies what is new in a change. It rejects a change that leaves a gap, and one whose sender no longer owns the
// stream.
func TestApplyReplication(t *testing.T) {
	replica := func(change func(*Stream)) *Stream {
		stream := newStream("q1", "tenant")
		stream.ownerName, stream.ownerAddr, stream.term = "north1", "10.0.0.1:1", 1
		stream.chunks, stream.readable, stream.size = [][]byte{[]byte("a"), []byte("b")}, 2, 2
		if change != nil {
			change(stream)
		}
		return stream
	}
	for _, c := range []struct {
		name     string
		stream   *Stream
		change   ReplicateRequest
		want     string // all chunks after the change, joined
		added    int    // bytes
		wantCode wire.Code
	}{
		{"next chunks", replica(nil), ReplicateRequest{Owner: "north1", Term: 1, Offset: 2, Chunks: [][]byte{[]byte("c")}}, "abc", 1, ""},
		{"chunks sent again", replica(nil), ReplicateRequest{Owner: "north1", Term: 1, Offset: 1, Chunks: [][]byte{[]byte("b"), []byte("c")}}, "abc", 1, ""},
		{"saved request", replica(nil), ReplicateRequest{Owner: "north1", Term: 1, Offset: 2, Request: &SavedRequest{Body: []byte("body")}}, "ab", 4, ""},
		{"later owner", replica(nil), ReplicateRequest{Owner: "south1", Term: 2, Offset: 2}, "ab", 0, ""},
		{"gap", replica(nil), ReplicateRequest{Owner: "north1", Term: 1, Offset: 3, Chunks: [][]byte{[]byte("d")}}, "ab", 0, codeGap},
		{"earlier owner", replica(nil), ReplicateRequest{Owner: "north1", Term: 0, Offset: 2, Chunks: [][]byte{[]byte("c")}}, "ab", 0, codeGivenUp},
		{"stream taken over here", replica(func(s *Stream) { s.ownerName = "" }), ReplicateRequest{Owner: "north1", Term: 1, Offset: 2}, "ab", 0, codeGivenUp},
		{"failure shown here", replica(func(s *Stream) { s.failure = CodeRouterLost }), ReplicateRequest{Owner: "north1", Term: 1, Offset: 2}, "ab", 0, codeGivenUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			added, err := c.stream.applyReplication(&c.change)
			if c.wantCode == "" && err != nil || c.wantCode != "" && !wire.HasCode(err, c.wantCode) {
				t.Errorf("got error %v, want code %q", err, c.wantCode)
			}
			if got := string(bytes.Join(c.stream.chunks, nil)); got != c.want || added != c.added {
				t.Errorf("got chunks %q and %d bytes added, want %q and %d", got, added, c.want, c.added)
			}
			if err == nil && (c.stream.ownerName != c.change.Owner || c.stream.term != c.change.Term || c.stream.readable != len(c.stream.chunks)) {
				t.Errorf("got owner %q, term %d and %d readable chunks, want those of the change", c.stream.ownerName, c.stream.term, c.stream.readable)
			}
		})
	}
}
