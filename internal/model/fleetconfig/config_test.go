package fleetconfig

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Every error is told at once, each by its path.
func TestTroubles(t *testing.T) {
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
		lay, bad := Parse([]byte(raw))
		got := map[string]bool{}
		for _, b := range bad {
			got[b.Path] = true
			if b.Text == "" {
				t.Errorf("%s: a trouble at %q says nothing", raw, b.Path)
			}
		}
		want := map[string]bool{}
		for _, p := range strings.Split(paths, " ") {
			want[p] = true
		}
		if paths == "tenants.a b" {
			want = map[string]bool{paths: true}
		}
		if lay != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: troubles at %v, expected %v", raw, got, want)
		}
	}
}

// A selector against the plain reading of its terms.
func TestSelectorAgainstModel(t *testing.T) {
	words := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		tags := rapid.MapOf(rapid.SampledFrom(words), rapid.SampledFrom(words)).Draw(t, "tags")
		var text []string
		want := true
		for range rapid.IntRange(1, 4).Draw(t, "terms") {
			name, v, u := rapid.SampledFrom(words).Draw(t, "key"), rapid.SampledFrom(words).Draw(t, "v"), rapid.SampledFrom(words).Draw(t, "u")
			have, has := tags[name]
			var s string
			var ok bool
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				s, ok = name+"="+v, has && have == v
			case 1:
				s, ok = name+" != "+v, !has || have != v
			case 2:
				s, ok = name+" in ("+v+", "+u+")", has && (have == v || have == u)
			case 3:
				s, ok = name+" notin ("+v+","+u+")", !has || have != v && have != u
			case 4:
				s, ok = name, has
			case 5:
				s, ok = "!"+name, !has
			}
			text, want = append(text, s), want && ok
		}
		sel, bad := ParseSelector(strings.Join(text, ", "))
		if bad != "" {
			t.Fatalf("%q: %s", text, bad)
		}
		if got := sel.Match(tags); got != want {
			t.Fatalf("%q on %v: %v", text, tags, got)
		}
	})
}

// A merge patch against the plain rule: null removes, objects go deeper, all else replaces.
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
			t.Errorf("%s with %s: %s %v, expected %s", c[0], c[1], got, err, c[2])
		}
	}
}

// Whatever bytes an operator puts, a config is read whole or told wrong, never both, never a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services":{"s":{}},"pools":{"p":{"select":"a=b","service":"s"}},"lanes":{"l":{"tenants":["*"]}},"mappings":[{"path":"/x","lane":"l","pool":"p"}]}`))
	f.Add([]byte(`{"mappings":{"a":[]},"tenants":{"t":{"keys":{}}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		lay, bad := Parse(raw)
		if (lay == nil) == (len(bad) == 0) {
			t.Errorf("%s: layout %v, troubles %v", raw, lay != nil, bad)
		}
		if lay != nil && !json.Valid(raw) {
			t.Errorf("%s was taken", raw)
		}
	})
}
