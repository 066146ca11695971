// Package fleetconfig parses and validates the operators' configuration: pools, traffic classes, routes, tenants and limits.
// A Config is only made from a document without errors.
package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// MaxBytes is the maximum size of a document, in bytes.
const MaxBytes = 1 << 20

// DefaultMaxFinishedKeys is the maximum number of finished once-only keys that are stored if the config sets none: those of
// three days at 60 per second.
const DefaultMaxFinishedKeys = 16_000_000

// FieldError is one error in a config, with the path of the invalid value.
type FieldError struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Quota limits a tenant to Units in any rolling window. A request costs one unit or, if Tokens is set, its maximum output in
// tokens divided by Tokens, rounded up.
type Quota struct {
	Units  int
	Window time.Duration
	Tokens int
}

// Tenant is a payer. It is identified by the hashes of its keys.
type Tenant struct {
	Name   string
	Funded bool  // the free output allowance does not limit it
	Quota  Quota // Units 0: no quota
}

// TrafficClass is a class of requests that are treated alike. The document calls it a lane.
type TrafficClass struct {
	Name              string
	Priority          int // lower values are dispatched first
	QueueTimeout      time.Duration
	StallTimeout      time.Duration // a run fails if its runner sends nothing for this long
	OnceOnly          bool          // a request runs at most once
	RepeatLostStreams bool          // a stream whose run was lost may be run a second time
	WithoutPrompt     bool          // ordinary application: requests have no prompt and need no allowance
	AllowedTenants    map[int]bool  // by index of the tenant
	AllTenants        bool          // every tenant may use the class
}

// Pool is a group of runners that a selector chooses by their labels.
type Pool struct {
	Name    string
	Select  Selector
	Service int // index
}

// Service bounds the retries to one service of the fleet.
type Service struct {
	Name       string
	RetryRatio float64 // retries per first attempt, over ten seconds
	MinRetries int     // retries permitted in addition, for the fleet as a whole
}

// Route maps requests to a traffic class and a pool.
type Route struct {
	Method       string
	Path         string
	Prefix       bool // Path is a prefix: it ended in * in the document
	Headers      map[string]string
	TrafficClass int // index
	Pool         int // index
}

// Allowance defines the free output allowance, in tokens, as a function of the estimated wait.
type Allowance struct {
	Ceiling, Floor         int
	FullUntil, FloorFrom   time.Duration // the ceiling applies up to the first wait, the floor from the second
	AssumedTokensPerSecond float64       // rate assumed of a runner that has completed no stream
}

// Limits bound the resources of requests and queues.
type Limits struct {
	BodyBytes, Tokens, Queue int
	BodyTimeout              time.Duration // maximum time to receive a body
	OpenRequests             int           // requests in flight on one router, in any state
	ClaimRetention           time.Duration // how long a once-only key is stored with its outcome
	FinishedKeyRetention     time.Duration // how long it is stored that a key has run
	MaxFinishedKeys          int           // maximum number of such keys
}

// Config is a validated config, in which names are resolved to indices.
type Config struct {
	Version        uint64
	Raw            []byte // the document
	Tenants        []Tenant
	TrafficClasses []TrafficClass
	Pools          []Pool
	Services       []Service
	Routes         []Route
	Allowance      Allowance
	Limits         Limits
	tenantByHash   map[string]int // indices of tenants by key hash
}

// HashKey returns the hex SHA-256 of a key, which represents the key in a config.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TenantByKey returns the index of the tenant that owns a key.
func (c *Config) TenantByKey(key string) (int, bool) {
	return c.TenantByHash(HashKey(key))
}

// TenantByHash returns the index of the tenant that owns the key with a hash, for callers that do not have the key itself.
func (c *Config) TenantByHash(hash string) (int, bool) {
	index, ok := c.tenantByHash[hash]
	return index, ok
}

// FindRoute returns the first route that matches a request's method, path and headers, or nil. known reports whether any route
// matches the path, whatever its method and headers.
func (c *Config) FindRoute(method, path string, header func(string) string) (route *Route, known bool) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Prefix && !strings.HasPrefix(path, route.Path) || !route.Prefix && path != route.Path {
			continue
		}
		known = true
		if route.Method != method {
			continue
		}
		matches := true
		for name, value := range route.Headers {
			matches = matches && header(name) == value
		}
		if matches {
			return route, true
		}
	}
	return nil, known
}

// Admits reports whether a tenant may use the traffic class.
func (c *TrafficClass) Admits(tenant int) bool { return c.AllTenants || c.AllowedTenants[tenant] }
