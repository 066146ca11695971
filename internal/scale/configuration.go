package scale

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

type object = map[string]any

// tenant names a tenant.
func tenant(i int) string { return fmt.Sprintf("tenant-%03d", i+1) }

// configuration makes a layout with so many tenants, each with a quota and two keys, and a pool, a lane and a
// mapping for each model.
func configuration(tenants, models int) ([]byte, error) {
	payers, pools, lanes, mappings := object{}, object{}, object{}, []object{}
	for i := range tenants {
		name := tenant(i)
		payers[name] = object{"keys": []string{keyHash(name + "/1"), keyHash(name + "/2")}, "funded": i%2 == 0,
			"quota": object{"units": 100_000, "window_s": 10}}
	}
	for i := range models {
		model := fmt.Sprintf("model-%02d", i)
		pools[model] = object{"select": "model=" + model, "service": "models"}
		lanes[model] = object{"rank": 2, "patience_ms": 10000, "tenants": []string{"*"}}
		mappings = append(mappings, object{"method": "POST", "path": "/v1/" + model, "lane": model, "pool": model})
	}
	return json.Marshal(object{"services": object{"models": object{"second_share": 0.1, "second_spare": 20}},
		"tenants": payers, "pools": pools, "lanes": lanes, "mappings": mappings})
}

// keyHash is a key's hash as layouts list it.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
