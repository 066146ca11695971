package fleetconfig

import (
	"bytes"
	"encoding/json"
)

// Merge applies a JSON merge patch (RFC 7396) to the text of a config. An empty raw counts as no document.
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

// decode decodes JSON and keeps numbers as they are written.
func decode(raw []byte, to *any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return decoder.Decode(to)
}

func mergeValues(base, change any) any {
	changes, ok := change.(map[string]any)
	if !ok {
		return change
	}
	target, ok := base.(map[string]any)
	if !ok {
		target = map[string]any{}
	}
	for name, value := range changes {
		if value == nil {
			delete(target, name)
		} else {
			target[name] = mergeValues(target[name], value)
		}
	}
	return target
}
