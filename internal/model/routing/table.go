// Package routing defines the routing table of the gateway, which determines the service, the limits and the tenant of a
// request, and the descriptions of runners that cores and routers exchange. A Table is immutable after Build.
package routing

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind determines whether a request of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	Safe      Kind = iota // may run more than once
	Unsafe                // runs at most once per attempt of the client
	Streaming             // the response is an event stream; runs at most once unless it may be resumed
)

// Spec is a decoded routing configuration before validation.
type Spec struct {
	Revision uint64
	Routes   []RouteSpec
	Services []Service
	Tenants  []TenantSpec
	Limits   Limits
}

// RouteSpec is a route before validation. It refers to services by name.
type RouteSpec struct {
	Name            string
	Host            string
	Prefix          string // begins and ends with a slash
	Kind            Kind
	Resume          bool // a lost stream may be resumed at another runner
	Public          bool // requires no key
	SessionAffinity bool
	Timeout         time.Duration // maximum time from the arrival of a request to its deadline
	TargetLatency   time.Duration // a response (of a stream: its first event) within this time has its full value
	TargetGap       time.Duration // longest gap between two events of a stream that is on time
	Priority        int           // 0: the highest
	MaxAttempts     int           // maximum number of runners to which a request is sent
	Split           []SplitSpec
}

// SplitSpec is the weight of one service in a route.
type SplitSpec struct {
	Service string
	Weight  int
}

// Service is a group of equivalent runners.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // maximum number of connections to one runner, from all routers together; 0: unlimited
	Engine         *Engine // nil: the service is an ordinary application
}

// Engine describes the inference engine of a language model service.
type Engine struct {
	Slots          int // maximum number of requests in one batch
	CacheTokens    int // capacity of one runner's memory, in tokens
	TokensPerEvent int
	Models         []string
}

// TenantSpec is a tenant before validation.
type TenantSpec struct {
	Name     string
	Keys     []string
	Priority int     // takes precedence over the route's
	Rate     float64 // units per second over all nodes; 0: unlimited
	Burst    float64 // units in addition to the rate
	Unit     QuotaUnit

	UncachedTokens int // cost of a request that does not state its tokens, if tokens are counted
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a validated routing configuration, in which names are resolved to indices.
type Table struct {
	Revision uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	hosts map[string][]int // indices of routes by host, longest prefix first
	keys  map[string]int   // indices of tenants by key
}

// Route is a validated route.
type Route struct {
	RouteSpec
	Index       int
	Split       []Split
	TotalWeight int // sum of the weights of Split
}

// Split is the weight of one service, given by its index, in a route.
type Split struct {
	Service int
	Weight  int
}

// Tenant is a validated tenant. Its fields mean the same as in TenantSpec.
type Tenant struct {
	Name     string
	Priority int
	Rate     float64
	Burst    float64
	Unit     QuotaUnit

	UncachedTokens int
}

// FieldError is one reason why a configuration is invalid, with the path of the invalid field or object.
type FieldError struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Error returns the path and the text, separated by a colon.
func (f FieldError) Error() string { return f.Path + ": " + f.Text }

// Idempotent reports whether a request of this route may be sent again if it may have run already.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resume
}

// Build validates a configuration. It returns either the table or all errors found.
func Build(spec Spec) (*Table, []FieldError) {
	b := &builder{
		table:    &Table{Revision: spec.Revision, Services: spec.Services, Limits: spec.Limits, hosts: map[string][]int{}, keys: map[string]int{}},
		services: map[string]int{},
	}
	b.addServices(spec.Services)
	b.addRoutes(spec.Routes)
	b.addTenants(spec.Tenants)
	if len(b.errors) > 0 {
		return nil, b.errors
	}
	b.table.sortPrefixes()
	return b.table, nil
}

type builder struct {
	table    *Table
	services map[string]int
	errors   []FieldError
}

func (b *builder) addError(path, format string, args ...any) {
	b.errors = append(b.errors, FieldError{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (b *builder) addServices(services []Service) {
	for i, service := range services {
		path := fmt.Sprintf("services.%d", i)
		if service.Name == "" {
			b.addError(path, "a name is expected")
		}
		if _, duplicate := b.services[service.Name]; duplicate {
			b.addError(path, "the name %q stands there twice", service.Name)
		}
		b.services[service.Name] = i
	}
}

func (b *builder) addRoutes(routes []RouteSpec) {
	names := map[string]bool{}
	prefixes := map[[2]string]bool{}
	for i, spec := range routes {
		path := fmt.Sprintf("routes.%d", i)
		if names[spec.Name] {
			b.addError(path, "the name %q stands there twice", spec.Name)
		}
		names[spec.Name] = true
		spec.Host = strings.ToLower(spec.Host)
		hostAndPrefix := [2]string{spec.Host, spec.Prefix}
		if prefixes[hostAndPrefix] {
			b.addError(path, "another route has host %q and prefix %q too", spec.Host, spec.Prefix)
		}
		prefixes[hostAndPrefix] = true
		if !strings.HasPrefix(spec.Prefix, "/") || !strings.HasSuffix(spec.Prefix, "/") {
			b.addError(path, "a prefix that begins and ends with a slash is expected, got %q", spec.Prefix)
		}
		if spec.Timeout <= 0 {
			b.addError(path, "a time-out above zero is expected")
		}
		route := Route{RouteSpec: spec, Index: i}
		for _, split := range spec.Split {
			service, known := b.services[split.Service]
			if !known {
				b.addError(path, "the service %q is not known", split.Service)
			}
			if split.Weight < 0 {
				b.addError(path, "a weight of zero or more is expected, got %d", split.Weight)
			}
			route.Split = append(route.Split, Split{Service: service, Weight: split.Weight})
			route.TotalWeight += split.Weight
		}
		if route.TotalWeight <= 0 {
			b.addError(path, "the weights add up to nothing")
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
			b.addError(path, "a name of its own is expected, got %q", spec.Name)
		}
		names[spec.Name] = true
		if spec.Rate < 0 || spec.Burst < 0 {
			b.addError(path, "a rate and a burst of zero or more are expected")
		}
		for _, key := range spec.Keys {
			if _, duplicate := b.table.keys[key]; duplicate || key == "" {
				b.addError(path, "one of its keys is empty or listed twice")
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

// Match returns the route with the longest prefix of path among the routes of host, or nil if there is none. A port in host
// is ignored unless routes exist for the host with that port.
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

// TenantByKey returns the index of the tenant that owns a key.
func (t *Table) TenantByKey(key string) (index int, known bool) {
	index, known = t.keys[key]
	return index, known
}

// Pick returns the index of the service for a hash. Uniformly distributed hashes spread over the services by weight.
func (r *Route) Pick(hash uint64) int {
	offset := int(hash % uint64(r.TotalWeight))
	for _, split := range r.Split {
		if offset -= split.Weight; offset < 0 {
			return split.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
