package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// parser parses a document into a config, section by section. A section may refer to entries of earlier sections by name, so
// each section records the indices of its entries.
type parser struct {
	reader
	config         *Config
	services       map[string]int
	pools          map[string]int
	tenants        map[string]int
	trafficClasses map[string]int
}

// Parse parses and validates a document. It returns either the config or all errors found.
func Parse(raw []byte) (*Config, []FieldError) {
	if len(raw) > MaxBytes {
		return nil, []FieldError{{"", fmt.Sprintf("%d bytes; at most %d expected", len(raw), MaxBytes)}}
	}
	if !gjson.ValidBytes(raw) {
		return nil, []FieldError{{"", "valid JSON expected"}}
	}
	doc := gjson.ParseBytes(raw)
	if !doc.IsObject() {
		return nil, []FieldError{{"", "an object expected"}}
	}
	p := &parser{config: &Config{Raw: raw, tenantByHash: map[string]int{}},
		services: map[string]int{}, pools: map[string]int{}, tenants: map[string]int{}, trafficClasses: map[string]int{}}
	p.object("", doc, []string{"allowance", "lanes", "limits", "mappings", "pools", "services", "tenants"}, nil)
	p.object("services", doc.Get("services"), nil, p.service)
	p.object("pools", doc.Get("pools"), nil, p.pool)
	p.object("tenants", doc.Get("tenants"), nil, p.tenant)
	p.object("lanes", doc.Get("lanes"), nil, p.trafficClass)
	p.routes(doc.Get("mappings"))
	p.allowance(doc.Get("allowance"))
	p.limits(doc.Get("limits"))
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.config, nil
}

func (p *parser) service(name, path string, value gjson.Result) {
	p.checkName(path, name)
	p.object(path, value, []string{"second_share", "second_spare"}, nil)
	p.services[name] = len(p.config.Services)
	p.config.Services = append(p.config.Services, Service{Name: name,
		RetryRatio: p.fraction(path+".second_share", value.Get("second_share"), 0, 0.19, 0.1),
		MinRetries: p.integer(path+".second_spare", value.Get("second_spare"), 0, 100, 20)})
}

func (p *parser) pool(name, path string, value gjson.Result) {
	p.checkName(path, name)
	p.object(path, value, []string{"select", "service"}, nil)
	pool := Pool{Name: name}
	if selector := value.Get("select"); selector.Type != gjson.String {
		p.report(path+".select", "a selector expected, got %s", abbreviate(selector))
	} else {
		var problem string
		if pool.Select, problem = ParseSelector(selector.Str); problem != "" {
			p.report(path+".select", "%s", problem)
		}
	}
	serviceName := p.text(path+".service", value.Get("service"), "")
	service, ok := p.services[serviceName]
	if !ok {
		p.report(path+".service", "the name of a service expected, got %q", serviceName)
	}
	pool.Service = service
	p.pools[name] = len(p.config.Pools)
	p.config.Pools = append(p.config.Pools, pool)
}

func (p *parser) tenant(name, path string, value gjson.Result) {
	p.checkName(path, name)
	p.object(path, value, []string{"funded", "keys", "quota"}, nil)
	tenant := Tenant{Name: name, Funded: p.boolean(path+".funded", value.Get("funded"))}
	p.tenants[name] = len(p.config.Tenants)
	p.keyHashes(path+".keys", value.Get("keys"))
	if quota := value.Get("quota"); quota.Exists() {
		p.object(path+".quota", quota, []string{"tokens", "units", "window_s"}, nil)
		tenant.Quota = Quota{
			Units:  p.integer(path+".quota.units", quota.Get("units"), 1, 10_000_000, 1),
			Window: time.Duration(p.integer(path+".quota.window_s", quota.Get("window_s"), 1, 86400, 60)) * time.Second,
			Tokens: p.integer(path+".quota.tokens", quota.Get("tokens"), 0, 1_000_000, 0)}
		if !quota.Get("units").Exists() {
			p.report(path+".quota.units", "missing")
		}
	}
	p.config.Tenants = append(p.config.Tenants, tenant)
}

// keyHashes parses the key hashes of the tenant that is added next.
func (p *parser) keyHashes(path string, hashes gjson.Result) {
	if hashes.Exists() && !hashes.IsArray() {
		p.report(path, "a list of key hashes expected, got %s", abbreviate(hashes))
	}
	for i, hash := range hashes.Array() {
		entryPath := fmt.Sprintf("%s.%d", path, i)
		sum, err := hex.DecodeString(hash.String())
		if err != nil || len(sum) != sha256.Size || hash.Type != gjson.String {
			p.report(entryPath, "64 hex digits, the SHA-256 of the key, expected")
			continue
		}
		lower := strings.ToLower(hash.Str)
		if _, duplicate := p.config.tenantByHash[lower]; duplicate {
			p.report(entryPath, "this key is listed twice")
		}
		p.config.tenantByHash[lower] = len(p.config.Tenants)
	}
}

func (p *parser) trafficClass(name, path string, value gjson.Result) {
	p.checkName(path, name)
	p.object(path, value, []string{"once", "patience_ms", "plain", "rank", "repeat", "silence_ms", "tenants"}, nil)
	class := TrafficClass{Name: name, AllowedTenants: map[int]bool{}, Priority: p.integer(path+".rank", value.Get("rank"), 0, 9, 5),
		QueueTimeout: p.milliseconds(path+".patience_ms", value.Get("patience_ms"), 1, 3_600_000, 10_000),
		StallTimeout: p.milliseconds(path+".silence_ms", value.Get("silence_ms"), 1000, 3_600_000, 60_000),
		OnceOnly:     p.boolean(path+".once", value.Get("once")), WithoutPrompt: p.boolean(path+".plain", value.Get("plain"))}
	if class.RepeatLostStreams = p.boolean(path+".repeat", value.Get("repeat")); class.RepeatLostStreams && (class.OnceOnly || class.WithoutPrompt) {
		p.report(path+".repeat", "false expected on a lane that is once or plain")
	}
	tenants := value.Get("tenants")
	if !tenants.IsArray() || len(tenants.Array()) == 0 {
		p.report(path+".tenants", "a list of tenants, or [\"*\"], expected")
	}
	for i, tenantName := range tenants.Array() {
		if tenantName.String() == "*" {
			class.AllTenants = true
			continue
		}
		tenant, ok := p.tenants[tenantName.String()]
		if !ok {
			p.report(fmt.Sprintf("%s.tenants.%d", path, i), "the name of a tenant expected, got %s", abbreviate(tenantName))
		}
		class.AllowedTenants[tenant] = true
	}
	p.trafficClasses[name] = len(p.config.TrafficClasses)
	p.config.TrafficClasses = append(p.config.TrafficClasses, class)
}

func (p *parser) routes(routes gjson.Result) {
	if routes.Exists() && !routes.IsArray() {
		p.report("mappings", "a list expected, got %s", abbreviate(routes))
	}
	for i, value := range routes.Array() {
		p.route(fmt.Sprintf("mappings.%d", i), value)
	}
}

func (p *parser) route(path string, value gjson.Result) {
	p.object(path, value, []string{"headers", "lane", "method", "path", "pool"}, nil)
	route := Route{Method: p.text(path+".method", value.Get("method"), "POST"), Path: p.text(path+".path", value.Get("path"), ""), Headers: map[string]string{}}
	if route.Method != "POST" && route.Method != "GET" {
		p.report(path+".method", "POST or GET expected, got %q", route.Method)
	}
	if !strings.HasPrefix(route.Path, "/") {
		p.report(path+".path", "a path from / expected, got %q", route.Path)
	}
	if strings.HasPrefix(route.Path, "/v1/streams") {
		p.report(path+".path", "/v1/streams is the router's own, for resuming")
	}
	route.Path, route.Prefix = strings.CutSuffix(route.Path, "*")
	p.object(path+".headers", value.Get("headers"), nil, func(name, headerPath string, header gjson.Result) {
		if unroutableHeaders[strings.ToLower(name)] {
			p.report(headerPath, "a header that may be mapped on expected")
		}
		route.Headers[name] = p.text(headerPath, header, "")
	})
	var ok bool
	if route.TrafficClass, ok = p.trafficClasses[value.Get("lane").String()]; !ok {
		p.report(path+".lane", "the name of a lane expected, got %q", value.Get("lane").String())
	}
	if route.Pool, ok = p.pools[value.Get("pool").String()]; !ok {
		p.report(path+".pool", "the name of a pool expected, got %q", value.Get("pool").String())
	}
	p.config.Routes = append(p.config.Routes, route)
}

func (p *parser) allowance(value gjson.Result) {
	p.object("allowance", value, []string{"assumed_rate", "ceiling", "floor", "floor_s", "full_s"}, nil)
	allowance := Allowance{
		Ceiling:                p.integer("allowance.ceiling", value.Get("ceiling"), 1, 1_000_000, 4096),
		Floor:                  p.integer("allowance.floor", value.Get("floor"), 0, 1_000_000, 512),
		FullUntil:              time.Duration(p.fraction("allowance.full_s", value.Get("full_s"), 0, 86400, 60) * float64(time.Second)),
		FloorFrom:              time.Duration(p.fraction("allowance.floor_s", value.Get("floor_s"), 0, 86400, 300) * float64(time.Second)),
		AssumedTokensPerSecond: p.fraction("allowance.assumed_rate", value.Get("assumed_rate"), 0.001, 1_000_000, 10)}
	if allowance.Floor > allowance.Ceiling {
		p.report("allowance.floor", "at most the ceiling, %d, expected, got %d", allowance.Ceiling, allowance.Floor)
	}
	if allowance.FloorFrom <= allowance.FullUntil {
		p.report("allowance.floor_s", "more than full_s expected")
	}
	p.config.Allowance = allowance
}

func (p *parser) limits(value gjson.Result) {
	p.object("limits", value, []string{"body_bytes", "body_ms", "claim_keep_s", "max_tokens", "open", "queue", "ran_keep_s", "ran_most"}, nil)
	p.config.Limits = Limits{
		BodyBytes:            p.integer("limits.body_bytes", value.Get("body_bytes"), 1, 16<<20, 1<<20),
		BodyTimeout:          p.milliseconds("limits.body_ms", value.Get("body_ms"), 100, 600_000, 10_000),
		Tokens:               p.integer("limits.max_tokens", value.Get("max_tokens"), 1, 1_000_000, 16384),
		Queue:                p.integer("limits.queue", value.Get("queue"), 1, 100_000, 1000),
		OpenRequests:         p.integer("limits.open", value.Get("open"), 1, 1_000_000, 4000),
		ClaimRetention:       time.Duration(p.integer("limits.claim_keep_s", value.Get("claim_keep_s"), 10, 86400, 3600)) * time.Second,
		FinishedKeyRetention: time.Duration(p.integer("limits.ran_keep_s", value.Get("ran_keep_s"), 10, 90*86400, 2*86400)) * time.Second,
		MaxFinishedKeys:      p.integer("limits.ran_most", value.Get("ran_most"), 1, 100_000_000, DefaultMaxFinishedKeys)}
}
