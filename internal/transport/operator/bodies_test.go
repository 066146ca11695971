package operator

import (
	"encoding/json"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
)

// Operators' scripts read these bodies: their fields and the order of them stay as they were.
func TestBodiesStayAsTheyWere(t *testing.T) {
	for _, c := range []struct {
		body any
		want string
	}{
		{Alive{Alive: true}, `{"alive":true}`},
		{ReadyState{Ready: true}, `{"ready":true}`},
		{ReadyState{Why: "no layout yet"}, `{"ready":false,"why":"no layout yet"}`},
		{Written{Version: 7}, `{"repeated":false,"sequence":7}`},
		{web.ErrorBody{Error: web.Error{Code: "no-core", Message: "text"}}, `{"error":{"code":"no-core","message":"text"}}`},
		{BadConfigBody{BadConfig{Code: "bad-layout", Message: "text"}}, `{"error":{"code":"bad-layout","message":"text","troubles":null}}`},
		{BadConfigBody{BadConfig{Code: "bad-layout", Message: "text", Flaws: []coreapi.ConfigError{{Path: "a", Text: "b"}}}},
			`{"error":{"code":"bad-layout","message":"text","troubles":[{"path":"a","text":"b"}]}}`},
	} {
		got, err := json.Marshal(c.body)
		if err != nil || string(got) != c.want {
			t.Errorf("%T: %s, %s expected (%v)", c.body, got, c.want, err)
		}
	}
}
