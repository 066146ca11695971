package layout

import (
	"bytes"
	"encoding/json"
)

// Merge applies a JSON merge patch (RFC 7386) to a layout's text.
//
//	next, err := layout.Merge(raw, []byte(`{"lanes":{"old":null}}`))
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
	return json.Marshal(merge(base, change))
}

func decode(raw []byte, to *any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	return d.Decode(to)
}

func merge(base, change any) any {
	c, ok := change.(map[string]any)
	if !ok {
		return change
	}
	b, ok := base.(map[string]any)
	if !ok {
		b = map[string]any{}
	}
	for k, v := range c {
		if v == nil {
			delete(b, k)
		} else {
			b[k] = merge(b[k], v)
		}
	}
	return b
}
