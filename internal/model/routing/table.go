// Package routing holds the routing table of the gateway: which service serves a request by its host and
// path, under which limits, and who pays for it. A Table is immutable once Build has made it.
package routing

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says what may be done with a request of a route.
type Kind int

// The kinds of route.
const (
	Safe      Kind = iota // may run more than once
	Unsafe                // runs at most once for each attempt of a client
	Streaming             // the answer is an event stream; runs at most once unless it may be resumed
)

// Spec is a routing configuration as its author wrote it, before it was checked.
type Spec struct {
	Revision uint64
	Routes   []RouteSpec
	Services []Service
	Tenants  []TenantSpec
	Limits   Limits
}

// RouteSpec is one route as written: services are named.
type RouteSpec struct {
	Name            string
	Host            string
	Prefix          string // begins and ends with a slash
	Kind            Kind
	Resume          bool // a lost stream may be taken up at another runner
	Public          bool // needs no key
	SessionAffinity bool
	Timeout         time.Duration // the longest a request may be held
	TargetLatency   time.Duration // within which an answer (of a stream: its first event) earns its full worth
	TargetGap       time.Duration // longest pause between events of a stream that is in time
	Priority        int           // 0 is the highest
	MaxAttempts     int           // most runners to which one request may be sent
	Split           []SplitSpec
}

// SplitSpec is one service's part of a route.
type SplitSpec struct {
	Service string
	Weight  int
}

// Service is a group of runners that are alike.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that one runner takes from all callers together; 0: not bounded
	Engine         *Engine // nil where the service is an ordinary application
}

// Engine tells how the runners of a language model service work.
type Engine struct {
	Slots          int // requests in one batch
	CacheTokens    int // tokens that the memory of one runner holds
	TokensPerEvent int
	Models         []string
}

// TenantSpec is one tenant as written.
type TenantSpec struct {
	Name     string
	Keys     []string
	Priority int     // goes before the route's
	Rate     float64 // units a second over all nodes; 0: not limited
	Burst    float64 // units on top of the rate
	Unit     QuotaUnit

	UncachedTokens int // what a request counts that does not tell its tokens, where tokens are counted
}

// Limits bound what one client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a checked routing configuration with names mapped to dense indices.
type Table struct {
	Revision uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	hosts map[string][]int // routes of a host, longest prefix first
	keys  map[string]int
}

// Route is one checked route.
type Route struct {
	RouteSpec
	Index       int
	Split       []Split
	TotalWeight int // sum of the weights
}

// Split is one service's part of a route by index.
type Split struct {
	Service int
	Weight  int
}

// Tenant is one checked tenant.
type Tenant struct {
	Name     string
	Priority int
	Rate     float64
	Burst    float64
	Unit     QuotaUnit

	UncachedTokens int
}

// FieldError is one reason why a configuration is invalid.
type FieldError struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Error joins path and text.
func (f FieldError) Error() string { return f.Path + ": " + f.Text }

// Idempotent reports whether a request of this route may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resume
}

// Build checks a configuration whole. With any flaw it returns no table.
func Build(spec Spec) (*Table, []FieldError) {
	b := &builder{
		table:    &Table{Revision: spec.Revision, Services: spec.Services, Limits: spec.Limits, hosts: map[string][]int{}, keys: map[string]int{}},
		services: map[string]int{},
	}
	b.addServices(spec.Services)
	b.addRoutes(spec.Routes)
	b.addTenants(spec.Tenants)
	if len(b.flaws) > 0 {
		return nil, b.flaws
	}
	b.table.sortPrefixes()
	return b.table, nil
}

type builder struct {
	table    *Table
	services map[string]int
	flaws    []FieldError
}

func (b *builder) flaw(path, format string, args ...any) {
	b.flaws = append(b.flaws, FieldError{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (b *builder) addServices(services []Service) {
	for i, service := range services {
		path := fmt.Sprintf("services.%d", i)
		if service.Name == "" {
			b.flaw(path, "a name is expected")
		}
		if _, twice := b.services[service.Name]; twice {
			b.flaw(path, "the name %q stands there twice", service.Name)
		}
		b.services[service.Name] = i
	}
}

func (b *builder) addRoutes(routes []RouteSpec) {
	names := map[string]bool{}
	places := map[[2]string]bool{}
	for i, spec := range routes {
		path := fmt.Sprintf("routes.%d", i)
		if names[spec.Name] {
			b.flaw(path, "the name %q stands there twice", spec.Name)
		}
		names[spec.Name] = true
		spec.Host = strings.ToLower(spec.Host)
		place := [2]string{spec.Host, spec.Prefix}
		if places[place] {
			b.flaw(path, "another route has host %q and prefix %q too", spec.Host, spec.Prefix)
		}
		places[place] = true
		if !strings.HasPrefix(spec.Prefix, "/") || !strings.HasSuffix(spec.Prefix, "/") {
			b.flaw(path, "a prefix that begins and ends with a slash is expected, got %q", spec.Prefix)
		}
		if spec.Timeout <= 0 {
			b.flaw(path, "a time-out above zero is expected")
		}
		route := Route{RouteSpec: spec, Index: i}
		for _, part := range spec.Split {
			service, known := b.services[part.Service]
			if !known {
				b.flaw(path, "the service %q is not known", part.Service)
			}
			if part.Weight < 0 {
				b.flaw(path, "a weight of zero or more is expected, got %d", part.Weight)
			}
			route.Split = append(route.Split, Split{Service: service, Weight: part.Weight})
			route.TotalWeight += part.Weight
		}
		if route.TotalWeight <= 0 {
			b.flaw(path, "the weights add up to nothing")
		}
		b.table.Routes = append(b.table.Routes, route)
		b.table.hosts[spec.Host] = append(b.table.hosts[spec.Host], i)
	}
}

func (b *builder) addTenants(tenants []TenantSpec) {
	names := map[string]bool{}
	for i, spec := range tenants {
		path := fmt.Sprintf("tenants.%d", i)
		if spec.Name == "" || names[spec.Name] {
			b.flaw(path, "a name of its own is expected, got %q", spec.Name)
		}
		names[spec.Name] = true
		if spec.Rate < 0 || spec.Burst < 0 {
			b.flaw(path, "a rate and a burst of zero or more are expected")
		}
		for _, key := range spec.Keys {
			if _, taken := b.table.keys[key]; taken || key == "" {
				b.flaw(path, "one of its keys is empty or listed twice")
				continue
			}
			b.table.keys[key] = i
		}
		b.table.Tenants = append(b.table.Tenants, Tenant{Name: spec.Name, Priority: spec.Priority, Rate: spec.Rate, Burst: spec.Burst,
			Unit: spec.Unit, UncachedTokens: spec.UncachedTokens})
	}
}

func (t *Table) sortPrefixes() {
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(t.Routes[routes[i]].Prefix) > len(t.Routes[routes[j]].Prefix)
		})
	}
}

// Match finds the route of a request: of its host's routes the one with the longest prefix. Nil: none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, known := t.hosts[host]
	if !known {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, i := range routes {
		if strings.HasPrefix(path, t.Routes[i].Prefix) {
			return &t.Routes[i]
		}
	}
	return nil
}

// TenantByKey finds the tenant that holds a key.
func (t *Table) TenantByKey(key string) (index int, known bool) {
	index, known = t.keys[key]
	return index, known
}

// Pick chooses the service of a route for a number that is spread evenly over all numbers.
func (r *Route) Pick(number uint64) int {
	at := int(number % uint64(r.TotalWeight))
	for _, part := range r.Split {
		if at -= part.Weight; at < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
