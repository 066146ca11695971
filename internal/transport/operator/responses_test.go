package operator

import (
	"encoding/json"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
)

// Operators' scripts read these bodies, so neither their fields nor the order of the fields may change.
func TestResponseBodies(t *testing.T) {
	for _, c := range []struct {
		body any
		want string
	}{
		{AliveResponse{Alive: true}, `{"alive":true}`},
		{ReadyResponse{Ready: true}, `{"ready":true}`},
		{ReadyResponse{Reason: "no layout yet"}, `{"ready":false,"why":"no layout yet"}`},
		{WriteConfigResponse{Version: 7}, `{"repeated":false,"sequence":7}`},
		{web.ErrorBody{Error: web.Error{Code: "no-core", Message: "text"}}, `{"error":{"code":"no-core","message":"text"}}`},
		{InvalidConfigResponse{InvalidConfig{Code: "bad-layout", Message: "text"}}, `{"error":{"code":"bad-layout","message":"text","troubles":null}}`},
		{InvalidConfigResponse{InvalidConfig{Code: "bad-layout", Message: "text", Errors: []coreapi.ConfigError{{Path: "a", Text: "b"}}}},
			`{"error":{"code":"bad-layout","message":"text","troubles":[{"path":"a","text":"b"}]}}`},
	} {
		got, err := json.Marshal(c.body)
		if err != nil || string(got) != c.want {
			t.Errorf("%T: got %s and error %v, want %s", c.body, got, err, c.want)
		}
	}
}
