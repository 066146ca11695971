package runner

import (
	"fmt"
	"net/netip"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/transport/dissemination"
)

// ParseHeartbeat reads a heartbeat and lists everything that is wrong with it.
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
	report := Report{Name: text("name"), Address: text("addr"), RunID: text("born"), State: text("state"),
		Capacity: num("room", 1e6), MaxTokens: num("max_length", 1e9), Queued: num("queued_tokens", 1e12), Labels: map[string]string{}}
	sequence := uint64(num("turn", 1e15))
	if value := doc.Get("fill"); value.Exists() {
		if value.Type != gjson.Number || value.Num < 0 || value.Num > 1 {
			bad = append(bad, "fill: a number from 0 to 1 is expected")
		}
		report.Fill = value.Num
	}
	if _, err := netip.ParseAddrPort(report.Address); err != nil {
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
	return report, sequence, bad
}

// NextRecord makes the next record of a runner from its report, and reports whether its state changed.
// Another run at a known address gets a generation of its own, whatever its clock says.
func NextRecord(store *dissemination.Store, report Report, sequence uint64) (dissemination.Record, bool) {
	record := dissemination.Record{Key: KeyPrefix + report.Address, Generation: 1, Version: max(sequence, 1)}
	fresh := true
	if old, _, ok := store.Get(record.Key); ok {
		var was Report
		_, _ = was.UnmarshalMsg(old.Body) // one that cannot be read counts as that of another run
		record.Generation = old.Generation
		if was.RunID != report.RunID {
			record.Generation++
		} else {
			// A heartbeat without a sequence number counts as the newest. One with a number keeps it: a delayed
			// heartbeat must not undo a later one.
			if sequence == 0 {
				record.Version = old.Version + 1
			}
			fresh = was.State != report.State
		}
	}
	record.Body, _ = report.MarshalMsg(nil)
	return record, fresh
}
