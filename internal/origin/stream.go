package origin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/node"
	"yarrowridge/internal/request"
	"yarrowridge/internal/runner"
	"yarrowridge/internal/strike"
)

// linger is how long a stream runs on for an origin that may come back.
const linger = 30 * time.Second

// resumeWait is how long a resumed stream is waited for while nothing new comes and nobody says that
// it has ended: the longest silence that any lane may allow.
const resumeWait = time.Hour

// A stream that nobody holds is asked after so often before it counts as lost.
const (
	missMost = 3
	missWait = 200 * time.Millisecond
)

// StreamPath is where a stream is resumed.
const StreamPath = "/v1/streams/"

// event reads one server-sent event, its blank line included.
func event(r *bufio.Reader) ([]byte, error) {
	var out []byte
	for line := 0; ; { // where the present line begins: a long one comes in several reads
		part, err := r.ReadSlice('\n')
		out = append(out, part...)
		if err != nil && err != bufio.ErrBufferFull {
			return out, err
		}
		if len(out) > pieceMost {
			return nil, errLong
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

var errLong = &Bounce{Status: 502, Code: "piece-too-large", Unknown: true, Text: "A piece of the runner's stream is too large."}

// last tells whether an event is the runner's own word that the stream is complete.
func last(ev []byte) bool { return bytes.HasPrefix(ev, []byte("data: [DONE]")) }

// endEvent tells an origin that a stream is complete.
const endEvent = "data: [DONE]\n\n"

// number puts a piece's number into its event, after any the runner set.
func number(ev []byte, n int) []byte {
	out := append([]byte{}, bytes.TrimRight(ev, "\r\n")...)
	return append(out, fmt.Sprintf("\nid: %d\n\n", n)...)
}

// trouble is the event that ends a stream explicitly.
func trouble(code, text, id string) []byte {
	raw, _ := json.Marshal(map[string]any{"error": map[string]any{"code": code, "run": "unknown", "message": text, "query": id}})
	return append(append([]byte("event: trouble\ndata: "), raw...), '\n', '\n')
}

// stream carries one run of a stream piece by piece: each is numbered, held by the understudy, and
// only then shown. A second run has to repeat, byte for byte, what is held, before it adds to it. The
// end event is handed over only after the runner's own end has been read to its frame.
func (y *way) stream(ctx context.Context, e *runner.Slot, ans *http.Response, dog *time.Timer) (err error) {
	c := y.car
	if c.st == nil {
		c.open(y, ans)
	}
	held, _ := c.st.Held()
	in := bufio.NewReaderSize(ans.Body, 16<<10)
	seen, done := 0, false
	for {
		var batch [][]byte
		came := 0
		for {
			var ev []byte
			ev, err = event(in)
			if err != nil || done && len(ev) > 0 {
				if len(ev) > 0 {
					err = io.ErrUnexpectedEOF // half an event, or one after the end
				}
				break
			}
			if done = last(ev); done {
				continue
			}
			seen++
			came++
			if p := number(ev, seen); seen > held {
				batch = append(batch, p)
			} else if !c.st.Same(seen-1, p) && !strike.Out("same") {
				return errDiffers
			}
			if in.Buffered() == 0 || came >= 64 {
				break
			}
		}
		dog.Reset(y.lane.Silence)
		if came > 0 {
			e.AddTokens(came)
		}
		if len(batch) > 0 {
			if err := y.f.Streams.Add(ctx, c.st, batch); err != nil {
				return errTaken
			}
			c.show(bytes.Join(batch, nil))
		}
		if err == io.EOF && done {
			break
		}
		if err != nil {
			var b *Bounce
			if !errors.As(err, &b) {
				err = y.lost(e, ctx, err)
			}
			return err
		}
	}
	if seen < held {
		return errDiffers
	}
	if y.f.Streams.Close(ctx, c.st, "") != nil {
		return errTaken
	}
	if err := y.q.Advance(request.Done, ""); err != nil {
		return err
	}
	c.show([]byte(endEvent))
	return nil
}

var errLeft = errors.New("the origin left")

// resume carries on a stream at the piece after the one the origin names, through any router.
func (y *way) resume() error {
	id := strings.TrimPrefix(y.r.URL.Path, StreamPath)
	if y.r.Method != http.MethodGet {
		return &Bounce{Status: 405, Code: "no-mapping", Text: "A stream is resumed with GET."}
	}
	after := 0
	from := y.r.Header.Get("Last-Event-ID")
	if v := y.r.URL.Query().Get("after"); v != "" {
		from = v
	}
	if from != "" {
		n, err := strconv.Atoi(from)
		if err != nil || n < 0 {
			return &Bounce{Status: 400, Code: "bad-piece", Text: "after, or Last-Event-ID: the number of the last piece had is expected."}
		}
		after = n
	}
	y.q.Lane = "resume"
	to := y.outlet()
	ctx, end := context.WithCancelCause(y.r.Context())
	defer end(nil)
	go y.watch(ctx, end)
	begun := false
	until := time.Now().Add(resumeWait)
	miss := 0
	for !to.gone && y.r.Context().Err() == nil {
		told, err := y.f.Streams.Resume(ctx, id, y.tn.Name, after)
		if miss++; err == nil {
			miss = 0
		}
		switch {
		case context.Cause(ctx) == errKey:
			told = &node.StreamTold{Lost: bounceKey.Code}
		case err != nil && miss < missMost && env.Wait(ctx, missWait):
			continue // it may just have been passed on from one router to the next
		case err != nil && !begun:
			return &Bounce{Status: 404, Code: "no-stream", Unknown: true, Text: "No router within reach holds this stream for this tenant."}
		case err != nil || time.Now().After(until):
			told = &node.StreamTold{Lost: node.LostRouter}
		}
		if !begun {
			begun = true
			y.w.Header().Set("Content-Type", "text/event-stream")
			y.w.WriteHeader(http.StatusOK)
		}
		after += len(told.Pieces)
		to.put(bytes.Join(told.Pieces, nil))
		switch {
		case told.End:
			to.put([]byte(endEvent))
			return &Bounce{Code: "resumed"}
		case told.Lost != "":
			to.put(trouble(told.Lost, "The run behind this stream was lost, or its key withdrawn.", id))
			y.torn = true
			return &Bounce{Code: told.Lost, Unknown: true}
		}
		if len(told.Pieces) > 0 {
			until = time.Now().Add(resumeWait)
		}
	}
	return &Bounce{Code: "origin-left", Unknown: true}
}
