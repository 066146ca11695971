// Package fleetconfig reads and checks the operators' config: pools, lanes, routes, tenants and limits.
// A document with an error in it is never made into a Config.
package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// MaxBytes is the largest document taken, in bytes.
const MaxBytes = 1 << 20

// DefaultMaxFinishedKeys is how many once-only keys that ran are kept unless the config says otherwise: three days at
// 60 a second.
const DefaultMaxFinishedKeys = 16_000_000

// FieldError is one thing wrong with a config, named by its path.
type FieldError struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Quota is N units in any rolling window. A request costs one unit, or with Tokens set, one unit
// for each started Tokens of output it may ask for.
type Quota struct {
	Units  int
	Window time.Duration
	Tokens int
}

// Tenant is one payer, known by the hashes of its keys.
type Tenant struct {
	Name   string
	Funded bool
	Quota  Quota // Units 0: no quota
}

// TrafficClass is a class of requests that are treated alike. Documents call it a lane.
type TrafficClass struct {
	Name              string
	Priority          int // lower goes first
	QueueTimeout      time.Duration
	StallTimeout      time.Duration // a runner that sends nothing for so long has lost the request
	OnceOnly          bool          // may run only once
	RepeatLostStreams bool          // the run behind a lost stream may be made a second time
	WithoutPrompt     bool          // ordinary application: no prompt, no allowance
	AllowedTenants    map[int]bool
	AllTenants        bool // every tenant
}

// Pool is a group of runners gathered by label.
type Pool struct {
	Name    string
	Select  Selector
	Service int
}

// Service bounds second tries to one service of the fleet.
type Service struct {
	Name       string
	RetryRatio float64 // second tries over first tries in ten seconds
	MinRetries int     // and this many besides, for the whole fleet
}

// Route leads a request to its lane and pool.
type Route struct {
	Method       string
	Path         string
	Prefix       bool // Path ended in *
	Headers      map[string]string
	TrafficClass int
	Pool         int
}

// Allowance holds the free output allowance's figures.
type Allowance struct {
	Ceiling, Floor         int
	FullUntil, FloorFrom   time.Duration // wait up to which the ceiling holds; from which the floor does
	AssumedTokensPerSecond float64       // tokens a second assumed of a runner with no completed stream
}

// Limits bound what one request or the queues may take.
type Limits struct {
	BodyBytes, Tokens, Queue int
	BodyTimeout              time.Duration // within which a body has to come
	OpenRequests             int           // requests under way on one router, in whatever state
	ClaimRetention           time.Duration // how long once-only keys are kept with what became of them
	FinishedKeyRetention     time.Duration // how long it is kept that a key ran
	MaxFinishedKeys          int           // how many such keys are kept at the most
}

// Config is a checked config, its names mapped to dense indices.
type Config struct {
	Version        uint64
	Raw            []byte
	Tenants        []Tenant
	TrafficClasses []TrafficClass
	Pools          []Pool
	Services       []Service
	Routes         []Route
	Allowance      Allowance
	Limits         Limits
	tenantByHash   map[string]int
}

// HashKey is how a key is written in a config: the hex SHA-256 of its text.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TenantByKey finds the tenant that a key belongs to.
func (c *Config) TenantByKey(key string) (int, bool) {
	return c.TenantByHash(HashKey(key))
}

// TenantByHash finds the tenant by the hash of a key, for those who hold only that.
func (c *Config) TenantByHash(hash string) (int, bool) {
	i, ok := c.tenantByHash[hash]
	return i, ok
}

// FindRoute finds the first route for a request: method, path and headers. known reports whether the path
// is mapped at all, by any method.
func (c *Config) FindRoute(method, path string, head func(string) string) (route *Route, known bool) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Prefix && !strings.HasPrefix(path, route.Path) || !route.Prefix && path != route.Path {
			continue
		}
		known = true
		if route.Method != method {
			continue
		}
		ok := true
		for name, v := range route.Headers {
			ok = ok && head(name) == v
		}
		if ok {
			return route, true
		}
	}
	return nil, known
}

// Admits reports whether a lane is open to a tenant.
func (l *TrafficClass) Admits(tenant int) bool { return l.AllTenants || l.AllowedTenants[tenant] }
