package configuration

import (
	"strings"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
)

func TestFleetCodec(t *testing.T) {
	codec := FleetCodec{}
	document, configErrors := codec.Check([]byte(`{"tenants":{"a":{"quota":{"units":7,"window_s":3}},"b":{}},"limits":{"claim_keep_s":60}}`))
	if len(configErrors) > 0 {
		t.Fatalf("got errors %v, want none", configErrors)
	}
	if document.Version != 0 || document.Quotas["a"] != 7 || document.Windows["a"].Seconds() != 3 || document.Claims.Retention.Seconds() != 60 || document.Claims.MaxFinishedKeys != defaultMaxFinishedKeys {
		t.Errorf("got %+v, want the quota and limits of the configuration", document)
	}
	if _, configErrors := codec.Check([]byte(`{"lanes":7}`)); len(configErrors) == 0 || !strings.Contains(configErrors[0].Path, "lanes") {
		t.Errorf("got errors %v, want one at an unknown field", configErrors)
	}
	if got := (ClaimLimits{}).withDefaults(); got.Retention.Hours() != 1 || got.FinishedRetention.Hours() != 48 || got.MaxFinishedKeys != defaultMaxFinishedKeys {
		t.Errorf("got defaults %+v", got)
	}
}

// nonEmptyCodec fails the test if it is given an empty document.
type nonEmptyCodec struct {
	FleetCodec
	t *testing.T
}

func (c nonEmptyCodec) Check(raw []byte) (Document, []coreapi.ConfigError) {
	if len(raw) == 0 {
		c.t.Error("the codec was given an empty document")
	}
	return Document{}, nil
}

// Before the first write, the codec is not called with an empty document.
func TestNoConfigurationYet(t *testing.T) {
	documents := New(nonEmptyCodec{t: t})
	if document := documents.Decode(coreapi.StoredConfig{}); document != nil {
		t.Errorf("got %+v, want none", document)
	}
	if got := documents.MaxFinishedKeys(coreapi.StoredConfig{}); got != defaultMaxFinishedKeys {
		t.Errorf("got a maximum of %d finished keys, want %d", got, defaultMaxFinishedKeys)
	}
	if document := documents.Decode(coreapi.StoredConfig{Version: 1, Raw: []byte("x")}); document == nil || document.Claims.Retention == 0 {
		t.Errorf("got %+v, want a document with defaults", document)
	}
}
