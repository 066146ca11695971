package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// API is the runners' listener: where they send heartbeats.
type API struct {
	Cluster *cluster.Member
	KeyHash func() string // hex SHA-256 of the runners' key; "" takes heartbeats without one
}

// Taken tells a runner that its heartbeat was taken.
type Taken struct {
	Taken bool `json:"taken"`
}

// Handler makes the API's routes.
func (api *API) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{{Method: "POST", Path: "/v1/runners/beat", Handler: api.Heartbeat}}, nil)
}

// ParseHeartbeat reads a heartbeat and tells everything that is wrong with it.
func ParseHeartbeat(raw []byte) (Report, uint64, []string) {
	var bad []string
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return Report{}, 0, []string{"a JSON object is expected"}
	}
	doc := gjson.ParseBytes(raw)
	text := func(k string) string {
		value := doc.Get(k)
		if value.Type != gjson.String || value.Str == "" || len(value.Str) > 200 {
			bad = append(bad, k+": a string of 1 to 200 bytes is expected")
		}
		return value.Str
	}
	num := func(k string, high float64) int {
		value := doc.Get(k)
		if value.Exists() && (value.Type != gjson.Number || value.Num < 0 || value.Num > high) {
			bad = append(bad, fmt.Sprintf("%s: a number from 0 to %g is expected", k, high))
			return 0
		}
		return int(value.Num)
	}
	report := Report{Name: text("name"), Addr: text("addr"), Born: text("born"), State: text("state"),
		Room: num("room", 1e6), MaxTokens: num("max_length", 1e9), Queued: num("queued_tokens", 1e12), Labels: map[string]string{}}
	turn := uint64(num("turn", 1e15))
	if value := doc.Get("fill"); value.Exists() {
		if value.Type != gjson.Number || value.Num < 0 || value.Num > 1 {
			bad = append(bad, "fill: a number from 0 to 1 is expected")
		}
		report.Fill = value.Num
	}
	if _, err := netip.ParseAddrPort(report.Addr); err != nil {
		bad = append(bad, "addr: ip:port is expected")
	}
	if report.State != "starting" && report.State != "ready" && report.State != "leaving" {
		bad = append(bad, "state: starting, ready or leaving is expected")
	}
	if labels := doc.Get("labels"); labels.Exists() && !labels.IsObject() {
		bad = append(bad, "labels: an object of strings is expected")
	}
	doc.Get("labels").ForEach(func(name, value gjson.Result) bool {
		if value.Type != gjson.String || name.Str == "" || len(report.Labels) >= 64 || len(value.Str) > 200 {
			bad = append(bad, "labels: at most 64 names with strings of at most 200 bytes are expected")
			return false
		}
		report.Labels[name.Str] = value.Str
		return true
	})
	report.Zone = report.Labels["hall"]
	return report, turn, bad
}

// Heartbeat takes one heartbeat.
func (api *API) Heartbeat(w http.ResponseWriter, r *http.Request) {
	if hash := api.KeyHash(); hash != "" {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if fleetconfig.HashKey(key) != hash {
			web.WriteError(w, http.StatusUnauthorized, "unknown-key", "The runners' key is expected.")
			return
		}
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, "body-unread", "The beat broke off.")
		return
	}
	report, turn, bad := ParseHeartbeat(raw)
	if len(bad) > 0 {
		web.WriteError(w, http.StatusBadRequest, "bad-beat", strings.Join(bad, "; "))
		return
	}
	if report.Zone == "" {
		report.Zone = api.Cluster.Self().Zone
	}
	record, fresh := NextRecord(api.Cluster.Records, report, turn)
	recs := []dissemination.Record{record}
	api.Cluster.Broadcast(dissemination.Update{Records: recs})
	// A word of leaving, or any change of state, must outlive this router before we say it is taken.
	if fresh {
		ctx, end := context.WithTimeout(r.Context(), time.Second)
		defer end()
		if !api.Cluster.BroadcastToAll(ctx, recs) && report.State == "leaving" {
			w.Header().Set("Retry-After", "1")
			web.WriteError(w, http.StatusServiceUnavailable, "not-spread", "No other router could be told yet. Beat again.")
			return
		}
	}
	web.WriteJSON(w, http.StatusOK, Taken{Taken: true})
}

// NextRecord makes the news store's next record for a runner's word, and reports whether its state changed.
// Another run at a known address gets a generation of its own, whatever its clock says.
func NextRecord(store *dissemination.Store, report Report, turn uint64) (dissemination.Record, bool) {
	record := dissemination.Record{Key: KeyPrefix + report.Addr, Generation: 1, Version: max(turn, 1)}
	fresh := true
	if old, _, ok := store.Get(record.Key); ok {
		var was Report
		was.UnmarshalMsg(old.Body)
		record.Generation = old.Generation
		if was.Born != report.Born {
			record.Generation++
		} else {
			// A heartbeat without a turn counts as the newest. One with a turn keeps it: a heartbeat that was
			// long under way must not undo a later word.
			if turn == 0 {
				record.Version = old.Version + 1
			}
			fresh = was.State != report.State
		}
	}
	record.Body, _ = report.MarshalMsg(nil)
	return record, fresh
}
