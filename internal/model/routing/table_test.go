package routing

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// validRoute returns a valid route to the service "desk".
func validRoute(name, host, prefix string) RouteSpec {
	return RouteSpec{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Split: []SplitSpec{{Service: "desk", Weight: 1}}}
}

// validSpec returns a valid configuration.
func validSpec() Spec {
	return Spec{
		Revision: 1,
		Services: []Service{{Name: "desk"}, {Name: "yard"}},
		Routes:   []RouteSpec{validRoute("first", "one.example", "/a/"), validRoute("second", "one.example", "/b/")},
		Tenants:  []TenantSpec{{Name: "pier", Keys: []string{"key-1", "key-2"}}, {Name: "slip", Keys: []string{"key-3"}}},
	}
}

// Each invalid field yields exactly one error, with the path of its object, and no table.
func TestBuildReportsEachError(t *testing.T) {
	if _, errors := Build(validSpec()); len(errors) > 0 {
		t.Fatalf("valid configuration: got errors %v, want none", errors)
	}
	for _, c := range []struct {
		name       string
		path       string
		invalidate func(*Spec)
	}{
		{"a service without a name", "services.1", func(s *Spec) { s.Services[1].Name = "" }},
		{"two services with the same name", "services.1", func(s *Spec) { s.Services[1].Name = "desk" }},
		{"two routes with the same name", "routes.1", func(s *Spec) { s.Routes[1].Name = "first" }},
		{"two routes with the same host and prefix", "routes.1", func(s *Spec) { s.Routes[1].Prefix = "/a/" }},
		{"two routes with the same prefix and a host that differs in case", "routes.1", func(s *Spec) {
			s.Routes[1].Host, s.Routes[1].Prefix = "ONE.example", "/a/"
		}},
		{"a prefix without a leading slash", "routes.0", func(s *Spec) { s.Routes[0].Prefix = "a/" }},
		{"a prefix without a trailing slash", "routes.0", func(s *Spec) { s.Routes[0].Prefix = "/a" }},
		{"no time-out", "routes.0", func(s *Spec) { s.Routes[0].Timeout = 0 }},
		{"a negative time-out", "routes.0", func(s *Spec) { s.Routes[0].Timeout = -time.Second }},
		{"an unknown service", "routes.0", func(s *Spec) { s.Routes[0].Split[0].Service = "nowhere" }},
		{"weights with a sum of zero", "routes.0", func(s *Spec) { s.Routes[0].Split[0].Weight = 0 }},
		{"no services", "routes.0", func(s *Spec) { s.Routes[0].Split = nil }},
		{"a negative weight next to a larger one", "routes.0", func(s *Spec) {
			s.Routes[0].Split = []SplitSpec{{Service: "desk", Weight: 5}, {Service: "yard", Weight: -1}}
		}},
		{"two tenants with the same name", "tenants.1", func(s *Spec) { s.Tenants[1].Name = "pier" }},
		{"a tenant without a name", "tenants.1", func(s *Spec) { s.Tenants[1].Name = "" }},
		{"two tenants that share a key", "tenants.1", func(s *Spec) { s.Tenants[1].Keys = []string{"key-2"} }},
		{"an empty key", "tenants.1", func(s *Spec) { s.Tenants[1].Keys = []string{""} }},
		{"a negative rate", "tenants.0", func(s *Spec) { s.Tenants[0].Rate = -1 }},
		{"a negative burst", "tenants.0", func(s *Spec) { s.Tenants[0].Burst = -1 }},
	} {
		spec := validSpec()
		c.invalidate(&spec)
		table, errors := Build(spec)
		if table != nil || len(errors) != 1 || errors[0].Path != c.path {
			t.Errorf("%s: got a table: %v, errors %v, want no table and one error at %s", c.name, table != nil, errors, c.path)
		}
	}
}

// Build reports all errors of a configuration, not only the first.
func TestBuildReportsAllErrors(t *testing.T) {
	spec := validSpec()
	spec.Routes[0].Timeout = 0
	spec.Routes[1].Split[0].Service = "nowhere"
	spec.Tenants[1].Keys = []string{"key-1"}
	if _, errors := Build(spec); len(errors) != 3 {
		t.Errorf("got errors %v, want three", errors)
	}
}

// Match returns the route with the longest prefix, in whatever order the routes are configured.
func TestMatchTakesLongestPrefix(t *testing.T) {
	spec := validSpec()
	spec.Routes = []RouteSpec{
		validRoute("short", "one.example", "/a/"),
		validRoute("longest", "One.Example", "/a/b/c/"),
		validRoute("long", "one.example", "/a/b/"),
		validRoute("other host", "two.example", "/a/b/c/d/"),
		validRoute("host with port", "three.example:8080", "/"),
	}
	table, errors := Build(spec)
	if len(errors) > 0 {
		t.Fatal(errors)
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
			t.Errorf("host %q, path %q: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Match agrees with a linear search through all routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pathGenerator := rapid.StringMatching(`(/[ab]){0,3}`)
		prefixes := rapid.SliceOfNDistinct(pathGenerator, 1, 6, rapid.ID[string]).Draw(t, "prefixes")
		spec := validSpec()
		spec.Routes = nil
		for _, prefix := range prefixes {
			spec.Routes = append(spec.Routes, validRoute(prefix, "one.example", prefix+"/"))
		}
		table, errors := Build(spec)
		if len(errors) > 0 {
			t.Fatal(errors)
		}
		path := pathGenerator.Draw(t, "path") + rapid.SampledFrom([]string{"", "/", "/x", "b"}).Draw(t, "end")
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
			t.Fatalf("path %q: got prefix %q, want %q", path, got, want)
		}
	})
}

// Over a range of hashes that is a multiple of the sum of weights, each service gets exactly its share, and one with weight 0
// gets none.
func TestPickFollowsWeights(t *testing.T) {
	spec := validSpec()
	spec.Services = append(spec.Services, Service{Name: "shed"})
	spec.Routes[0].Split = []SplitSpec{{Service: "yard", Weight: 0}, {Service: "desk", Weight: 7}, {Service: "shed", Weight: 3}}
	table, errors := Build(spec)
	if len(errors) > 0 {
		t.Fatal(errors)
	}
	got := map[string]int{}
	for hash := range uint64(1000) {
		got[table.Services[table.Routes[0].Pick(hash)].Name]++
	}
	if got["desk"] != 700 || got["shed"] != 300 || got["yard"] != 0 {
		t.Errorf("got %v of 1000 hashes per service, want 700 for desk and 300 for shed", got)
	}
}

// A key identifies the tenant that owns it, and an unknown key identifies none.
func TestTenantByKey(t *testing.T) {
	table, errors := Build(validSpec())
	if len(errors) > 0 {
		t.Fatal(errors)
	}
	for key, want := range map[string]string{"key-1": "pier", "key-2": "pier", "key-3": "slip", "key-4": "", "": "", "KEY-1": ""} {
		got := ""
		if index, known := table.TenantByKey(key); known {
			got = table.Tenants[index].Name
		}
		if got != want {
			t.Errorf("key %q: got tenant %q, want %q", key, got, want)
		}
	}
}

// Only requests of safe routes and streams that may be resumed may run more than once.
func TestIdempotent(t *testing.T) {
	for _, c := range []struct {
		kind         Kind
		resume, want bool
	}{{Safe, false, true}, {Unsafe, false, false}, {Unsafe, true, false}, {Streaming, false, false}, {Streaming, true, true}} {
		route := Route{RouteSpec: RouteSpec{Kind: c.kind, Resume: c.resume}}
		if route.Idempotent() != c.want {
			t.Errorf("kind %d, resume %v: Idempotent got %v, want %v", c.kind, c.resume, !c.want, c.want)
		}
	}
}
