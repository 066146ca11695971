package fleetconfig

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Parse reports all errors of a document, each with its path.
func TestParseErrors(t *testing.T) {
	for raw, paths := range map[string]string{
		`{`:                   "",
		`[]`:                  "",
		`{"pox":1,"lanes":7}`: "pox lanes",
		`{"pools":{"a":{"select":"x=","service":"s"}}}`:                                                                            "pools.a.select pools.a.service",
		`{"services":{"s":{"second_share":0.3}},"pools":{"p":{"select":"a in (b","service":"s"}}}`:                                 "services.s.second_share pools.p.select",
		`{"tenants":{"t":{"keys":["zz"],"quota":{"units":0}}}}`:                                                                    "tenants.t.keys.0 tenants.t.quota.units",
		`{"lanes":{"l":{"rank":-1,"patience_ms":1.5,"once":"no","tenants":["who"]}}}`:                                              "lanes.l.rank lanes.l.patience_ms lanes.l.once lanes.l.tenants.0",
		`{"lanes":{"l":{"once":true,"repeat":true,"tenants":["*"]},"m":{"plain":true,"repeat":1,"silence_ms":3,"tenants":["*"]}}}`: "lanes.l.repeat lanes.m.repeat lanes.m.silence_ms",
		`{"limits":{"body_ms":0,"ran_keep_s":1,"ran_most":0.5}}`:                                                                   "limits.body_ms limits.ran_keep_s limits.ran_most",
		`{"mappings":[{"path":"x","method":"PUT"}]}`:                                                                               "mappings.0.method mappings.0.path mappings.0.lane mappings.0.pool",
		`{"allowance":{"floor":10,"ceiling":5,"full_s":9,"floor_s":3}}`:                                                            "allowance.floor allowance.floor_s",
		`{"tenants":{"a":{},"a":{}}}`:                                                                                              "tenants.a",
		`{"tenants":{"a b":{}}}`:                                                                                                   "tenants.a b",
	} {
		config, errors := Parse([]byte(raw))
		got := map[string]bool{}
		for _, err := range errors {
			got[err.Path] = true
			if err.Text == "" {
				t.Errorf("%s: got an error at %q without a text", raw, err.Path)
			}
		}
		want := map[string]bool{}
		for _, path := range strings.Split(paths, " ") {
			want[path] = true
		}
		if paths == "tenants.a b" {
			want = map[string]bool{paths: true}
		}
		if config != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got errors at %v, want %v", raw, got, want)
		}
	}
}

// A selector matches the same labels as its terms evaluated one by one while they are generated.
func TestSelectorAgainstModel(t *testing.T) {
	words := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		labels := rapid.MapOf(rapid.SampledFrom(words), rapid.SampledFrom(words)).Draw(t, "tags")
		var text []string
		want := true
		for range rapid.IntRange(1, 4).Draw(t, "terms") {
			name, value, other := rapid.SampledFrom(words).Draw(t, "key"), rapid.SampledFrom(words).Draw(t, "v"), rapid.SampledFrom(words).Draw(t, "u")
			actual, has := labels[name]
			var s string
			var ok bool
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				s, ok = name+"="+value, has && actual == value
			case 1:
				s, ok = name+" != "+value, !has || actual != value
			case 2:
				s, ok = name+" in ("+value+", "+other+")", has && (actual == value || actual == other)
			case 3:
				s, ok = name+" notin ("+value+","+other+")", !has || actual != value && actual != other
			case 4:
				s, ok = name, has
			case 5:
				s, ok = "!"+name, !has
			}
			text, want = append(text, s), want && ok
		}
		selector, problem := ParseSelector(strings.Join(text, ", "))
		if problem != "" {
			t.Fatalf("%q: got problem %q, want none", text, problem)
		}
		if got := selector.Match(labels); got != want {
			t.Fatalf("%q on %v: got %v, want %v", text, labels, got, want)
		}
	})
}

// In a merge patch null removes a value, an object is merged recursively, and any other value replaces the old one.
func TestMerge(t *testing.T) {
	for _, c := range [][3]string{
		{`{"a":{"b":1,"c":2}}`, `{"a":{"b":null}}`, `{"a":{"c":2}}`},
		{`{"a":1}`, `{"a":{"b":2}}`, `{"a":{"b":2}}`},
		{`{"a":[1,2]}`, `{"a":[3]}`, `{"a":[3]}`},
		{``, `{"a":{"b":null,"c":1}}`, `{"a":{"c":1}}`},
		{`{"n":12345678901234567890}`, `{}`, `{"n":12345678901234567890}`},
	} {
		got, err := Merge([]byte(c[0]), []byte(c[1]))
		if err != nil || string(got) != c[2] {
			t.Errorf("%s patched with %s: got %s, %v, want %s", c[0], c[1], got, err, c[2])
		}
	}
}

// For any input Parse returns either a config or errors, never both, and does not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services":{"s":{}},"pools":{"p":{"select":"a=b","service":"s"}},"lanes":{"l":{"tenants":["*"]}},"mappings":[{"path":"/x","lane":"l","pool":"p"}]}`))
	f.Add([]byte(`{"mappings":{"a":[]},"tenants":{"t":{"keys":{}}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		config, errors := Parse(raw)
		if (config == nil) == (len(errors) == 0) {
			t.Errorf("%s: got a config: %v, errors %v, want either a config or errors", raw, config != nil, errors)
		}
		if config != nil && !json.Valid(raw) {
			t.Errorf("%s: got a config from invalid JSON, want errors", raw)
		}
	})
}
