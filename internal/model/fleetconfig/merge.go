package fleetconfig

import (
	"bytes"
	"encoding/json"
)

// Merge applies a JSON merge patch (RFC 7386) to a config's text.
func Merge(raw, patch []byte) ([]byte, error) {
	var base, change any
	if len(raw) > 0 {
		if err := decode(raw, &base); err != nil {
			return nil, err
		}
	}
	if err := decode(patch, &change); err != nil {
		return nil, err
	}
	return json.Marshal(mergeValues(base, change))
}

func decode(raw []byte, to *any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return decoder.Decode(to)
}

func mergeValues(base, change any) any {
	c, ok := change.(map[string]any)
	if !ok {
		return change
	}
	target, ok := base.(map[string]any)
	if !ok {
		target = map[string]any{}
	}
	for name, v := range c {
		if v == nil {
			delete(target, name)
		} else {
			target[name] = mergeValues(target[name], v)
		}
	}
	return target
}
