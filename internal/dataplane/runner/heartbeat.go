package runner

import (
	"fmt"
	"net/netip"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/transport/dissemination"
)

// ParseHeartbeat parses a heartbeat and returns the runner's report, the heartbeat's sequence number (0: none) and all
// problems found.
func ParseHeartbeat(raw []byte) (Report, uint64, []string) {
	var problems []string
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return Report{}, 0, []string{"a JSON object is expected"}
	}
	doc := gjson.ParseBytes(raw)
	text := func(key string) string {
		value := doc.Get(key)
		if value.Type != gjson.String || value.Str == "" || len(value.Str) > 200 {
			problems = append(problems, key+": a string of 1 to 200 bytes is expected")
		}
		return value.Str
	}
	number := func(key string, limit float64) int {
		value := doc.Get(key)
		if value.Exists() && (value.Type != gjson.Number || value.Num < 0 || value.Num > limit) {
			problems = append(problems, fmt.Sprintf("%s: a number from 0 to %g is expected", key, limit))
			return 0
		}
		return int(value.Num)
	}
	report := Report{Name: text("name"), Address: text("addr"), RunID: text("born"), State: text("state"),
		Capacity: number("room", 1e6), MaxTokens: number("max_length", 1e9), Queued: number("queued_tokens", 1e12), Labels: map[string]string{}}
	sequence := uint64(number("turn", 1e15))
	if value := doc.Get("fill"); value.Exists() {
		if value.Type != gjson.Number || value.Num < 0 || value.Num > 1 {
			problems = append(problems, "fill: a number from 0 to 1 is expected")
		}
		report.Fill = value.Num
	}
	if _, err := netip.ParseAddrPort(report.Address); err != nil {
		problems = append(problems, "addr: ip:port is expected")
	}
	if report.State != "starting" && report.State != "ready" && report.State != "leaving" {
		problems = append(problems, "state: starting, ready or leaving is expected")
	}
	if labels := doc.Get("labels"); labels.Exists() && !labels.IsObject() {
		problems = append(problems, "labels: an object of strings is expected")
	}
	doc.Get("labels").ForEach(func(name, value gjson.Result) bool {
		if value.Type != gjson.String || name.Str == "" || len(report.Labels) >= 64 || len(value.Str) > 200 {
			problems = append(problems, "labels: at most 64 names with strings of at most 200 bytes are expected")
			return false
		}
		report.Labels[name.Str] = value.Str
		return true
	})
	report.Zone = report.Labels["hall"]
	return report, sequence, problems
}

// NextRecord returns the next record of a runner with its report, and whether the runner is new, has restarted or has
// changed its state. A new run at a known address gets a higher generation, so that its records replace those of the old
// run regardless of the sequence numbers.
func NextRecord(store *dissemination.Store, report Report, sequence uint64) (dissemination.Record, bool) {
	record := dissemination.Record{Key: KeyPrefix + report.Address, Generation: 1, Version: max(sequence, 1)}
	changed := true
	if old, _, ok := store.Get(record.Key); ok {
		var previous Report
		_, _ = previous.UnmarshalMsg(old.Body) // a report that cannot be decoded counts as one of another run
		record.Generation = old.Generation
		if previous.RunID != report.RunID {
			record.Generation++
		} else {
			// A heartbeat without a sequence number counts as the newest. With a number, that is the version: a delayed
			// heartbeat must not replace a later one.
			if sequence == 0 {
				record.Version = old.Version + 1
			}
			changed = previous.State != report.State
		}
	}
	record.Body, _ = report.MarshalMsg(nil)
	return record, changed
}
