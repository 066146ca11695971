// Package operator is the peer "operator": reading and changing the layout, and seeing the fleet.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/layout"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/web"
	"yarrowridge/internal/wire"
)

// WriteHead is the header with the operator's own id for a write, so that a repeat does not apply twice.
const WriteHead = "X-Write-Id"

// Face is the operators' listener of a router or a core.
type Face struct {
	Ctx     env.Ctx
	Core    *core.Client
	KeyHash func() string         // hex SHA-256 of the operators' key
	Ready   func() string         // why not, or ""
	Views   map[string]func() any // further things to read, by path
	Metrics http.Handler
}

// Handler makes the face's routes.
//
//	h, err := face.Handler()
func (f *Face) Handler() (http.Handler, error) {
	var all []rest.Route
	add := func(method, path string, h http.HandlerFunc) {
		all = append(all, rest.Route{Method: method, Path: path, Handler: h})
	}
	add("GET", "/alive", func(w http.ResponseWriter, _ *http.Request) { say(w, 200, map[string]any{"alive": true}) })
	add("GET", "/ready", Ready(f.Ready))
	if f.Metrics != nil {
		add("GET", "/metrics", f.Metrics.ServeHTTP)
	}
	add("GET", "/v1/layout", f.keyed(f.get))
	add("PUT", "/v1/layout", f.keyed(f.put))
	add("PATCH", "/v1/layout", f.keyed(f.put))
	add("GET", "/v1/fleet", f.keyed(f.fleet))
	for path, view := range f.Views {
		add("GET", path, f.keyed(func(w http.ResponseWriter, _ *http.Request) { say(w, 200, view()) }))
	}
	return web.Handler(all, f.keyed(func(w http.ResponseWriter, r *http.Request) {
		no(w, 404, "unknown-path", "Nothing is served at "+r.Method+" "+r.URL.Path+".", 0)
	}))
}

// Ready answers 200 where why gives "", else 503 with the reason.
//
//	http.Handle("/ready", operator.Ready(hub.Ready))
func Ready(why func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if s := why(); s != "" {
			w.Header().Set("Retry-After", "1")
			say(w, 503, map[string]any{"ready": false, "why": s})
			return
		}
		say(w, 200, map[string]any{"ready": true})
	}
}

func say(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

func no(w http.ResponseWriter, code int, name, text string, retry int) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retry))
	}
	say(w, code, map[string]any{"error": map[string]any{"code": name, "message": text}})
}

func (f *Face) keyed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || layout.HashKey(key) != f.KeyHash() {
			no(w, 401, "unknown-key", "The operators' key is expected, as Authorization: Bearer KEY.", 0)
			return
		}
		h(w, r)
	}
}

func (f *Face) get(w http.ResponseWriter, r *http.Request) {
	var want core.Want
	if s := r.URL.Query().Get("sequence"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil || n == 0 {
			no(w, 400, "bad-sequence", "sequence: a whole number above zero is expected.", 0)
			return
		}
		want.Seq = n
	}
	ctx, end := context.WithTimeout(r.Context(), 3*time.Second)
	defer end()
	var out core.Sheet
	switch err := f.Core.Call(ctx, "core.layout", &want, &out, true); {
	case wire.Is(err, "no-such-sequence"):
		no(w, 404, "no-such-sequence", "This sequence is not kept.", 0)
	case err != nil:
		no(w, 503, "no-core", "The core did not answer in time.", 1)
	case out.Seq == 0:
		no(w, 404, "no-layout", "No layout has been put yet.", 0)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(out.Seq, 10)))
		w.Write(out.Raw)
	}
}

func (f *Face) put(w http.ResponseWriter, r *http.Request) {
	in := core.Write{Id: r.Header.Get(WriteHead), Patch: r.Method == http.MethodPatch, Any: true}
	if len(in.Id) > 200 {
		no(w, 400, "bad-write-id", WriteHead+": at most 200 bytes are expected.", 0)
		return
	}
	if m := r.Header.Get("If-Match"); m != "" && m != "*" {
		n, err := strconv.ParseUint(strings.Trim(m, `"`), 10, 64)
		if err != nil {
			no(w, 400, "bad-if-match", "If-Match: a sequence, or *, is expected.", 0)
			return
		}
		in.Match, in.Any = n, false
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, layout.Most+1))
	if err != nil {
		no(w, 400, "body-unread", "The body broke off before its end.", 0)
		return
	}
	if len(raw) > layout.Most {
		no(w, 413, "too-large", fmt.Sprintf("A layout of at most %d bytes is taken.", layout.Most), 0)
		return
	}
	in.Raw = raw
	// The write goes on if the operator hangs up: its outcome is settled either way.
	ctx, end := context.WithTimeout(context.WithoutCancel(r.Context()), 6*time.Second)
	defer end()
	var out core.Wrote
	err = f.Core.Call(ctx, "core.write", &in, &out, in.Id != "")
	switch {
	case core.Doubt(err):
		no(w, 504, "in-doubt", "The write may yet take effect. Read the layout back, or repeat it with the same "+WriteHead+".", 1)
	case errors.Is(err, wire.ErrUnsent), wire.Is(err, core.NotReady), wire.Is(err, core.NotPrimary):
		no(w, 503, "not-taken", "The core can't take writes now. This one was surely not taken.", 1)
	case err != nil:
		f.Ctx.Log.Error("Write in trouble.", "trouble", err.Error())
		no(w, 504, "in-doubt", "The write may yet take effect. Read the layout back.", 1)
	case out.Code == 200:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(out.Seq, 10)))
		say(w, 200, map[string]any{"sequence": out.Seq, "repeated": out.Again})
	case out.Code == 412:
		no(w, 412, "lost-race", fmt.Sprintf("The layout is at sequence %d by now.", out.Seq), 0)
	case out.Code == 413:
		no(w, 413, "too-large", fmt.Sprintf("A layout of at most %d bytes is taken.", layout.Most), 0)
	case out.Code == 422:
		no(w, 422, "write-id-clash", "This "+WriteHead+" was used for another write.", 0)
	default:
		say(w, 400, map[string]any{"error": map[string]any{"code": "bad-layout", "message": "The layout has troubles; nothing was changed.", "troubles": out.Flaws}})
	}
}

func (f *Face) fleet(w http.ResponseWriter, r *http.Request) {
	ctx, end := context.WithTimeout(r.Context(), 2*time.Second)
	defer end()
	var out core.State
	if err := f.Core.Call(ctx, "core.peek", &core.Peek{}, &out, true); err != nil {
		no(w, 503, "no-core", "The core did not answer in time. GET /v1/standing tells what this process knows.", 1)
		return
	}
	seats := make([]relay.Seat, len(out.Nodes))
	for i, n := range out.Nodes {
		seats[i] = relay.Seat{Name: n.Name, Hall: n.Hall, Addr: n.Addr}
	}
	near := map[string][]string{}
	for _, n := range seats {
		near[n.Name] = []string{}
		for _, o := range relay.Near(n.Name, seats) {
			near[n.Name] = append(near[n.Name], o.Name)
		}
	}
	say(w, 200, struct {
		core.State
		Relays map[string][]string `json:"relays"` // with whom each router exchanges news, as all work it out from the roll
	}{out, near})
}
