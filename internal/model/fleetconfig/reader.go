package fleetconfig

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// reader reads values of a JSON document and collects the errors in them.
type reader struct {
	errors []FieldError
}

// report records an error at a path.
func (r *reader) report(path, format string, args ...any) {
	r.errors = append(r.errors, FieldError{path, fmt.Sprintf(format, args...)})
}

// object visits the entries of an object, sorted by name. known lists the allowed names; nil: any. A missing object has no
// entries.
func (r *reader) object(path string, value gjson.Result, known []string, visit func(name, path string, value gjson.Result)) {
	if !value.Exists() {
		return
	}
	if !value.IsObject() {
		r.report(path, "an object expected, got %s", abbreviate(value))
		return
	}
	var names []string
	entries := map[string]gjson.Result{}
	value.ForEach(func(key, entry gjson.Result) bool {
		name := key.String()
		if _, duplicate := entries[name]; duplicate {
			r.report(joinPath(path, name), "named twice")
		} else {
			names = append(names, name)
		}
		entries[name] = entry
		return true
	})
	sort.Strings(names)
	for _, name := range names {
		if known != nil && !slices.Contains(known, name) {
			r.report(joinPath(path, name), "unknown; one of %s expected", strings.Join(known, ", "))
			continue
		}
		if visit != nil {
			visit(name, joinPath(path, name), entries[name])
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// abbreviate returns the JSON text of a value, truncated for a message.
func abbreviate(value gjson.Result) string {
	if len(value.Raw) > 40 {
		return value.Raw[:40] + "..."
	}
	return value.Raw
}

// integer reads a whole number from low to high. If it is missing or invalid, integer returns fallback.
func (r *reader) integer(path string, value gjson.Result, low, high, fallback int) int {
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.Number || value.Num != float64(int64(value.Num)) || value.Num < float64(low) || value.Num > float64(high) {
		r.report(path, "a whole number from %d to %d expected, got %s", low, high, abbreviate(value))
		return fallback
	}
	return int(value.Num)
}

// milliseconds reads a whole number of milliseconds from low to high. If it is missing or invalid, milliseconds returns
// fallback.
func (r *reader) milliseconds(path string, value gjson.Result, low, high, fallback int) time.Duration {
	return time.Duration(r.integer(path, value, low, high, fallback)) * time.Millisecond
}

// fraction reads a number from low to high. If it is missing or invalid, fraction returns fallback.
func (r *reader) fraction(path string, value gjson.Result, low, high, fallback float64) float64 {
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.Number || value.Num < low || value.Num > high {
		r.report(path, "a number from %g to %g expected, got %s", low, high, abbreviate(value))
		return fallback
	}
	return value.Num
}

// boolean reads true or false. If it is missing, boolean returns false.
func (r *reader) boolean(path string, value gjson.Result) bool {
	if value.Exists() && !value.IsBool() {
		r.report(path, "true or false expected, got %s", abbreviate(value))
	}
	return value.Bool()
}

// text reads a non-empty string. If it is missing or invalid, text returns fallback.
func (r *reader) text(path string, value gjson.Result, fallback string) string {
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.String || value.Str == "" {
		r.report(path, "a string expected, got %s", abbreviate(value))
		return fallback
	}
	return value.Str
}

// checkName reports an error if a name is invalid.
func (r *reader) checkName(path, name string) {
	if name == "" || len(name) > 64 || strings.ContainsAny(name, " \t\r\n/\"\\*") || strings.IndexFunc(name, func(char rune) bool { return char < 33 || char > 126 }) >= 0 {
		r.report(path, "a name of 1 to 64 plain characters without spaces, slashes, quotes or stars expected")
	}
}

// unroutableHeaders are the headers, in lower case, that a route may not match on.
var unroutableHeaders = map[string]bool{"host": true, "content-length": true, "transfer-encoding": true, "connection": true, "authorization": true}
