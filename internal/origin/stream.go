package origin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"yarrowridge/internal/query"
	"yarrowridge/internal/runner"
)

// event reads one server-sent event, its blank line included.
func event(r *bufio.Reader) ([]byte, error) {
	var out []byte
	for {
		line, err := r.ReadSlice('\n')
		out = append(out, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return out, err
		}
		if len(out) > pieceMost {
			return nil, errLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return out, nil
		}
	}
}

var errLong = &Bounce{Status: 502, Code: "piece-too-large", Unknown: true, Text: "A piece of the runner's stream is too large."}

// last tells whether an event is the runner's own word that the stream is complete.
func last(ev []byte) bool { return bytes.HasPrefix(ev, []byte("data: [DONE]")) }

// stream carries a stream piece by piece. The end event is handed over only after the runner's
// own end has been read to its frame.
func (y *way) stream(ctx context.Context, e *runner.Entry, ans *http.Response, dog *time.Timer) (rest int, err error) {
	rest = y.tokens
	y.pass(ans)
	y.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(y.w)
	in := bufio.NewReaderSize(ans.Body, 16<<10)
	var end []byte
	for {
		ev, err := event(in)
		if err == io.EOF && len(ev) == 0 && end != nil {
			break
		}
		if err != nil || end != nil {
			return rest, y.cut(y.lost(e, ctx, io.ErrUnexpectedEOF))
		}
		dog.Reset(idle)
		if last(ev) {
			end = ev
			continue
		}
		n := min(1, rest)
		rest -= n
		e.Token(1, n)
		if _, err := y.w.Write(ev); err != nil {
			return rest, &Bounce{Code: "origin-left", Unknown: true}
		}
		flush.Flush()
	}
	if err := y.q.Go(query.Done, ""); err != nil {
		return rest, err
	}
	y.w.Write(end)
	flush.Flush()
	return rest, nil
}

// cut tells the origin, inside a stream, that it ended in trouble.
func (y *way) cut(err error) error {
	b, ok := err.(*Bounce)
	if !ok {
		return err
	}
	raw, _ := json.Marshal(map[string]any{"error": map[string]any{"code": b.Code, "run": "unknown", "message": b.Text, "query": y.q.Id}})
	y.w.Write([]byte("event: trouble\ndata: "))
	y.w.Write(append(raw, '\n', '\n'))
	http.NewResponseController(y.w).Flush()
	y.torn = true
	return &Bounce{Code: b.Code, Unknown: true}
}
