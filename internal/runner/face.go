package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/layout"
	"yarrowridge/internal/node"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/web"
)

// Face is the runners' listener: where they beat.
type Face struct {
	Hub     *node.Hub
	KeyHash func() string // hex SHA-256 of the runners' key; "" takes beats without one
}

// Handler makes the face's routes.
//
//	h, err := face.Handler()
func (f *Face) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{{Method: "POST", Path: "/v1/runners/beat", Handler: f.Beat}}, nil)
}

func tell(w http.ResponseWriter, code int, v map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

// ParseBeat reads a beat and tells everything that is wrong with it.
//
//	news, turn, bad := runner.ParseBeat(raw)
func ParseBeat(raw []byte) (News, uint64, []string) {
	var bad []string
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return News{}, 0, []string{"a JSON object is expected"}
	}
	doc := gjson.ParseBytes(raw)
	text := func(k string) string {
		v := doc.Get(k)
		if v.Type != gjson.String || v.Str == "" || len(v.Str) > 200 {
			bad = append(bad, k+": a string of 1 to 200 bytes is expected")
		}
		return v.Str
	}
	num := func(k string, high float64) int {
		v := doc.Get(k)
		if v.Exists() && (v.Type != gjson.Number || v.Num < 0 || v.Num > high) {
			bad = append(bad, fmt.Sprintf("%s: a number from 0 to %g is expected", k, high))
			return 0
		}
		return int(v.Num)
	}
	n := News{Name: text("name"), Addr: text("addr"), Born: text("born"), State: text("state"),
		Room: num("room", 1e6), Most: num("max_length", 1e9), Queued: num("queued_tokens", 1e12), Labels: map[string]string{}}
	turn := uint64(num("turn", 1e15))
	if v := doc.Get("fill"); v.Exists() {
		if v.Type != gjson.Number || v.Num < 0 || v.Num > 1 {
			bad = append(bad, "fill: a number from 0 to 1 is expected")
		}
		n.Fill = v.Num
	}
	if _, err := netip.ParseAddrPort(n.Addr); err != nil {
		bad = append(bad, "addr: ip:port is expected")
	}
	if n.State != "starting" && n.State != "ready" && n.State != "leaving" {
		bad = append(bad, "state: starting, ready or leaving is expected")
	}
	if l := doc.Get("labels"); l.Exists() && !l.IsObject() {
		bad = append(bad, "labels: an object of strings is expected")
	}
	doc.Get("labels").ForEach(func(k, v gjson.Result) bool {
		if v.Type != gjson.String || k.Str == "" || len(n.Labels) >= 64 || len(v.Str) > 200 {
			bad = append(bad, "labels: at most 64 names with strings of at most 200 bytes are expected")
			return false
		}
		n.Labels[k.Str] = v.Str
		return true
	})
	n.Hall = n.Labels["hall"]
	return n, turn, bad
}

// Beat takes one beat.
//
//	http.HandleFunc("/v1/runners/beat", face.Beat)
func (f *Face) Beat(w http.ResponseWriter, r *http.Request) {
	if hash := f.KeyHash(); hash != "" {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if layout.HashKey(key) != hash {
			tell(w, 401, map[string]any{"error": map[string]any{"code": "unknown-key", "message": "The runners' key is expected."}})
			return
		}
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		tell(w, 400, map[string]any{"error": map[string]any{"code": "body-unread", "message": "The beat broke off."}})
		return
	}
	n, turn, bad := ParseBeat(raw)
	if len(bad) > 0 {
		tell(w, 400, map[string]any{"error": map[string]any{"code": "bad-beat", "message": strings.Join(bad, "; ")}})
		return
	}
	if n.Hall == "" {
		n.Hall = f.Hub.Me().Hall
	}
	rec, fresh := Next(f.Hub.Board, n, turn)
	recs := []relay.Rec{rec}
	f.Hub.Spread(relay.Tell{Recs: recs})
	// A word of leaving, or any change of state, must outlive this router before we say it is taken.
	if fresh {
		ctx, end := context.WithTimeout(r.Context(), time.Second)
		defer end()
		if !f.Hub.Sure(ctx, recs) && n.State == "leaving" {
			w.Header().Set("Retry-After", "1")
			tell(w, 503, map[string]any{"error": map[string]any{"code": "not-spread", "message": "No other router could be told yet. Beat again."}})
			return
		}
	}
	tell(w, 200, map[string]any{"taken": true})
}

// Next makes the board's next record for a runner's word, and tells whether its state changed.
// Another run at a known address gets a generation of its own, whatever its clock says.
//
//	rec, fresh := runner.Next(board, news, turn)
func Next(b *relay.Board, n News, turn uint64) (relay.Rec, bool) {
	rec := relay.Rec{Key: KeyHead + n.Addr, Gen: 1, Turn: max(turn, 1)}
	fresh := true
	if old, _, ok := b.Get(rec.Key); ok {
		var was News
		was.UnmarshalMsg(old.Body)
		rec.Gen = old.Gen
		if was.Born != n.Born {
			rec.Gen++
		} else {
			// A beat without a turn counts as the newest. One with a turn keeps it: a beat that was
			// long under way must not undo a later word.
			if turn == 0 {
				rec.Turn = old.Turn + 1
			}
			fresh = was.State != n.State
		}
	}
	rec.Body, _ = n.MarshalMsg(nil)
	return rec, fresh
}
