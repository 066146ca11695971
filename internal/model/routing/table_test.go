package routing

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// validRoute is a route to the service "desk" that has no flaw.
func validRoute(name, host, prefix string) RouteSpec {
	return RouteSpec{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Split: []SplitSpec{{Service: "desk", Weight: 1}}}
}

// validSpec is a configuration without flaws.
func validSpec() Spec {
	return Spec{
		Revision: 1,
		Services: []Service{{Name: "desk"}, {Name: "yard"}},
		Routes:   []RouteSpec{validRoute("first", "one.example", "/a/"), validRoute("second", "one.example", "/b/")},
		Tenants:  []TenantSpec{{Name: "pier", Keys: []string{"key-1", "key-2"}}, {Name: "slip", Keys: []string{"key-3"}}},
	}
}

// Each way to spoil a valid configuration makes one flaw, at the place of the damage, and no table.
func TestBuildTellsEachFlaw(t *testing.T) {
	if _, flaws := Build(validSpec()); len(flaws) > 0 {
		t.Fatalf("the valid configuration has flaws: %v", flaws)
	}
	for _, c := range []struct {
		name  string
		path  string
		spoil func(*Spec)
	}{
		{"a service without a name", "services.1", func(s *Spec) { s.Services[1].Name = "" }},
		{"two services of one name", "services.1", func(s *Spec) { s.Services[1].Name = "desk" }},
		{"two routes of one name", "routes.1", func(s *Spec) { s.Routes[1].Name = "first" }},
		{"two routes of one place", "routes.1", func(s *Spec) { s.Routes[1].Prefix = "/a/" }},
		{"two routes of one place, in other letters", "routes.1", func(s *Spec) {
			s.Routes[1].Host, s.Routes[1].Prefix = "ONE.example", "/a/"
		}},
		{"a prefix without its first slash", "routes.0", func(s *Spec) { s.Routes[0].Prefix = "a/" }},
		{"a prefix without its last slash", "routes.0", func(s *Spec) { s.Routes[0].Prefix = "/a" }},
		{"no time-out", "routes.0", func(s *Spec) { s.Routes[0].Timeout = 0 }},
		{"a time-out below zero", "routes.0", func(s *Spec) { s.Routes[0].Timeout = -time.Second }},
		{"an unknown service", "routes.0", func(s *Spec) { s.Routes[0].Split[0].Service = "nowhere" }},
		{"weights that add up to nothing", "routes.0", func(s *Spec) { s.Routes[0].Split[0].Weight = 0 }},
		{"no service at all", "routes.0", func(s *Spec) { s.Routes[0].Split = nil }},
		{"a negative weight beside a larger one", "routes.0", func(s *Spec) {
			s.Routes[0].Split = []SplitSpec{{Service: "desk", Weight: 5}, {Service: "yard", Weight: -1}}
		}},
		{"two tenants of one name", "tenants.1", func(s *Spec) { s.Tenants[1].Name = "pier" }},
		{"a tenant without a name", "tenants.1", func(s *Spec) { s.Tenants[1].Name = "" }},
		{"two tenants that share a key", "tenants.1", func(s *Spec) { s.Tenants[1].Keys = []string{"key-2"} }},
		{"an empty key", "tenants.1", func(s *Spec) { s.Tenants[1].Keys = []string{""} }},
		{"a negative rate", "tenants.0", func(s *Spec) { s.Tenants[0].Rate = -1 }},
		{"a negative burst", "tenants.0", func(s *Spec) { s.Tenants[0].Burst = -1 }},
	} {
		spec := validSpec()
		c.spoil(&spec)
		table, flaws := Build(spec)
		if table != nil || len(flaws) != 1 || flaws[0].Path != c.path {
			t.Errorf("%s: table %v, flaws %v; one at %s is expected", c.name, table != nil, flaws, c.path)
		}
	}
}

// All flaws of a configuration are told at once.
func TestBuildTellsAllFlaws(t *testing.T) {
	spec := validSpec()
	spec.Routes[0].Timeout = 0
	spec.Routes[1].Split[0].Service = "nowhere"
	spec.Tenants[1].Keys = []string{"key-1"}
	if _, flaws := Build(spec); len(flaws) != 3 {
		t.Errorf("flaws %v, three are expected", flaws)
	}
}

// Of the routes of the request's host, the one with the longest prefix is taken, whatever their order.
func TestMatchTakesLongestPrefix(t *testing.T) {
	spec := validSpec()
	spec.Routes = []RouteSpec{
		validRoute("short", "one.example", "/a/"),
		validRoute("longest", "One.Example", "/a/b/c/"),
		validRoute("long", "one.example", "/a/b/"),
		validRoute("other host", "two.example", "/a/b/c/d/"),
		validRoute("host with port", "three.example:8080", "/"),
	}
	table, flaws := Build(spec)
	if len(flaws) > 0 {
		t.Fatal(flaws)
	}
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/x", "short"},
		{"one.example", "/a/", "short"},
		{"one.example", "/a/b/x", "long"},
		{"one.example", "/a/b", "short"},
		{"one.example", "/a/bc/x", "short"},
		{"one.example", "/a/b/c/d/e", "longest"},
		{"two.example", "/a/b/c/d/e", "other host"},
		{"two.example", "/a/b/c/e", ""},
		{"one.example", "/a", ""},
		{"one.example", "/b/", ""},
		{"one.example", "", ""},
		{"", "/a/", ""},
		{"nowhere.example", "/a/", ""},
		{"ONE.EXAMPLE", "/a/b/x", "long"},
		{"one.example:80", "/a/b/x", "long"},
		{"ONE.example:12345", "/a/x", "short"},
		{"nowhere.example:80", "/a/", ""},
		{"three.example:8080", "/x", "host with port"},
		{"three.example", "/x", ""},
	} {
		got := ""
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to route %q, not to %q", c.host, c.path, got, c.want)
		}
	}
}

// Match agrees with a plain search through all routes.
func TestMatchAgreesWithPlainSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.StringMatching(`(/[ab]){0,3}`)
		prefixes := rapid.SliceOfNDistinct(piece, 1, 6, rapid.ID[string]).Draw(t, "prefixes")
		spec := validSpec()
		spec.Routes = nil
		for _, prefix := range prefixes {
			spec.Routes = append(spec.Routes, validRoute(prefix, "one.example", prefix+"/"))
		}
		table, flaws := Build(spec)
		if len(flaws) > 0 {
			t.Fatal(flaws)
		}
		path := piece.Draw(t, "path") + rapid.SampledFrom([]string{"", "/", "/x", "b"}).Draw(t, "end")
		want := ""
		for _, route := range spec.Routes {
			if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(want) {
				want = route.Prefix
			}
		}
		got := ""
		if route := table.Match("one.example", path); route != nil {
			got = route.Prefix
		}
		if got != want {
			t.Fatalf("%q goes to %q, not to %q", path, got, want)
		}
	})
}

// Over all numbers each service gets exactly its weight, and one without weight gets nothing.
func TestPickFollowsWeights(t *testing.T) {
	spec := validSpec()
	spec.Services = append(spec.Services, Service{Name: "shed"})
	spec.Routes[0].Split = []SplitSpec{{Service: "yard", Weight: 0}, {Service: "desk", Weight: 7}, {Service: "shed", Weight: 3}}
	table, flaws := Build(spec)
	if len(flaws) > 0 {
		t.Fatal(flaws)
	}
	got := map[string]int{}
	for number := range uint64(1000) {
		got[table.Services[table.Routes[0].Pick(number)].Name]++
	}
	if got["desk"] != 700 || got["shed"] != 300 || got["yard"] != 0 {
		t.Errorf("of 1000 numbers the services got %v", got)
	}
}

// A key leads to the tenant that holds it, and to no other.
func TestTenantOfKey(t *testing.T) {
	table, flaws := Build(validSpec())
	if len(flaws) > 0 {
		t.Fatal(flaws)
	}
	for key, want := range map[string]string{"key-1": "pier", "key-2": "pier", "key-3": "slip", "key-4": "", "": "", "KEY-1": ""} {
		got := ""
		if index, known := table.TenantByKey(key); known {
			got = table.Tenants[index].Name
		}
		if got != want {
			t.Errorf("key %q leads to %q, not to %q", key, got, want)
		}
	}
}

// Only safe routes and streams that may be resumed may run again.
func TestIdempotent(t *testing.T) {
	for _, c := range []struct {
		kind         Kind
		resume, want bool
	}{{Safe, false, true}, {Unsafe, false, false}, {Unsafe, true, false}, {Streaming, false, false}, {Streaming, true, true}} {
		route := Route{RouteSpec: RouteSpec{Kind: c.kind, Resume: c.resume}}
		if route.Idempotent() != c.want {
			t.Errorf("kind %d, resume %v: Idempotent got %v", c.kind, c.resume, !c.want)
		}
	}
}
