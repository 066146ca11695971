package drill

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"yarrowridge/internal/model/fleetconfig"
)

// Mix is a deployment that the drill can play: its zones, runners, config and traffic.
type Mix struct {
	Name         string
	Zones        []string
	Routers      int
	Model        string
	ModelRunners int
	AppRunners   int // of the ordinary application, which is no model
	Kinds        []RequestKind
	Config       map[string]any
}

// RequestKind is one kind of request.
type RequestKind struct {
	Name        string
	Method      string
	Path        string
	Rate        float64 // requests per second at scale 1
	PrefixBytes int     // of the prompt, shared with other requests
	PrefixCount int     // number of different shared prefixes
	TailBytes   int     // of the prompt, after the prefix; not shared
	Tokens      int
	Stream      bool
	Once        bool
	Plain       bool
}

// TenantKey returns the API key of a tenant in the example configs.
func TenantKey(tenant string) string { return "demo-" + tenant }

type object = map[string]any

func tenants(names []string, funded, quota int) object {
	out := object{}
	for i, n := range names {
		t := object{"keys": []string{fleetconfig.HashKey(TenantKey(n))}, "funded": i < funded}
		if i >= len(names)-quota {
			t["quota"] = object{"units": 600, "window_s": 10}
		}
		out[n] = t
	}
	return out
}

// Trentvale is an order desk: many fit checks with long prompts, few streamed write-ups, and confirmations.
func Trentvale() Mix {
	return Mix{Name: "trentvale", Zones: []string{"east", "north", "south", "west"}, Routers: 9, Model: "lumen-7b", ModelRunners: 12, AppRunners: 4,
		Kinds: []RequestKind{
			{Name: "checks", Method: "POST", Path: "/v1/checks", Rate: 80, PrefixBytes: 8 << 10, PrefixCount: 24, TailBytes: 100, Tokens: 2},
			{Name: "writeups", Method: "POST", Path: "/v1/writeups", Rate: 2, PrefixBytes: 2 << 10, PrefixCount: 4, TailBytes: 400, Tokens: 60, Stream: true},
			{Name: "confirmations", Method: "POST", Path: "/v1/confirmations", Rate: 60, Once: true, Plain: true},
		},
		Config: object{
			"services": object{"model": object{"second_share": 0.1, "second_spare": 20}, "orders": object{"second_share": 0.1, "second_spare": 20}},
			"pools": object{
				"fit":    object{"select": "app=model, model=lumen-7b", "service": "model"},
				"orders": object{"select": "app=orders", "service": "orders"}},
			"lanes": object{
				"checks":        object{"rank": 2, "patience_ms": 10000, "tenants": []string{"*"}},
				"writeups":      object{"rank": 4, "patience_ms": 30000, "tenants": []string{"*"}, "repeat": true},
				"confirmations": object{"rank": 1, "patience_ms": 5000, "tenants": []string{"*"}, "once": true, "plain": true}},
			"mappings": []object{
				{"method": "POST", "path": "/v1/checks", "lane": "checks", "pool": "fit"},
				{"method": "POST", "path": "/v1/writeups", "lane": "writeups", "pool": "fit"},
				{"method": "POST", "path": "/v1/confirmations", "lane": "confirmations", "pool": "orders"}},
			"tenants": tenants([]string{"counter-east", "counter-north", "counter-south", "counter-west", "yard-a", "yard-b", "yard-c", "casual"}, 7, 1),
		}}
}

// Tokachi is a loan desk: risk notes with long prompts, few streamed replies, and status look-ups.
func Tokachi() Mix {
	return Mix{Name: "tokachi", Zones: []string{"hills", "plain", "river"}, Routers: 8, Model: "kumo-13b", ModelRunners: 9, AppRunners: 3,
		Kinds: []RequestKind{
			{Name: "notes", Method: "POST", Path: "/v1/notes", Rate: 40, PrefixBytes: 6 << 10, PrefixCount: 40, TailBytes: 300, Tokens: 12, Once: true},
			{Name: "replies", Method: "POST", Path: "/v1/replies", Rate: 2, PrefixBytes: 1 << 10, PrefixCount: 4, TailBytes: 400, Tokens: 60, Stream: true},
			{Name: "status", Method: "GET", Path: "/v1/status/", Rate: 60, Plain: true},
		},
		Config: object{
			"services": object{"model": object{"second_share": 0.1, "second_spare": 20}, "status": object{"second_share": 0.1, "second_spare": 20}},
			"pools": object{
				"loans":  object{"select": "app=model, model in (kumo-13b)", "service": "model"},
				"status": object{"select": "app=status, !retired", "service": "status"}},
			"lanes": object{
				"notes":   object{"rank": 2, "patience_ms": 10000, "tenants": []string{"*"}, "once": true},
				"replies": object{"rank": 4, "patience_ms": 30000, "tenants": []string{"*"}, "repeat": true},
				"status":  object{"rank": 1, "patience_ms": 3000, "tenants": []string{"*"}, "plain": true}},
			"mappings": []object{
				{"method": "POST", "path": "/v1/notes", "lane": "notes", "pool": "loans"},
				{"method": "POST", "path": "/v1/replies", "lane": "replies", "pool": "loans"},
				{"method": "GET", "path": "/v1/status/*", "lane": "status", "pool": "status"}},
			"tenants": tenants([]string{"desk-a", "desk-b", "desk-c", "field-hills", "field-plain", "field-river", "replies", "visitor"}, 7, 1),
		}}
}

// FindMix returns the mix of the given name.
func FindMix(name string) (Mix, error) {
	for _, m := range []Mix{Trentvale(), Tokachi()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("mix %q: trentvale or tokachi expected", name)
}

// ConfigJSON returns the mix's config as indented JSON.
func (m Mix) ConfigJSON() []byte {
	raw, err := json.MarshalIndent(m.Config, "", "  ")
	if err != nil {
		panic(err) // the config is a fixed value, so this is a programming error
	}
	return append(raw, '\n')
}

// body returns the body of a request. The number makes it differ from all others.
func (k RequestKind) body(model string, number uint64, random *rand.Rand) []byte {
	if k.Method == "GET" {
		return nil
	}
	fields := object{"nonce": number}
	if k.Plain {
		fields["order"] = fmt.Sprintf("order %d", number)
	} else {
		prefix := random.IntN(max(1, k.PrefixCount))
		line := fmt.Sprintf("%s sheet %d line; ", k.Name, prefix)
		fields["model"], fields["max_tokens"], fields["stream"] = model, k.Tokens, k.Stream
		fields["prompt"] = strings.Repeat(line, k.PrefixBytes/len(line)+1) + fmt.Sprintf(" question %d ", number) + strings.Repeat("q", k.TailBytes)
	}
	raw, _ := json.Marshal(fields)
	return raw
}

// requestRand returns a random source that depends only on the number of a request.
func requestRand(number uint64) *rand.Rand { return rand.New(rand.NewPCG(number, 0)) }

// tenantNames returns the names of a mix's tenants in alphabetical order.
func tenantNames(m Mix) []string {
	var names []string
	for k := range m.Config["tenants"].(object) {
		names = append(names, k)
	}
	sort.Strings(names)
	return names
}
