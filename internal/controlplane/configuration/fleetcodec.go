package configuration

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/fleetconfig"
)

// defaultMaxFinishedKeys is how many finished keys are kept at most where the configuration does not say.
const defaultMaxFinishedKeys = fleetconfig.RanMost

// FleetCodec reads fleet configurations (package fleetconfig). Such a configuration does not number itself: the core counts.
type FleetCodec struct{}

// Check decodes a whole configuration.
func (FleetCodec) Check(raw []byte) (Document, []coreapi.ConfigError) {
	config, errors := fleetconfig.Parse(raw)
	if len(errors) > 0 {
		configErrors := make([]coreapi.ConfigError, len(errors))
		for i, one := range errors {
			configErrors[i] = coreapi.ConfigError{Path: one.Path, Text: one.Text}
		}
		return Document{}, configErrors
	}
	document := Document{
		Quotas:  map[string]int{},
		Windows: map[string]time.Duration{},
		Claims:  ClaimLimits{Retention: config.Limits.ClaimRetention, FinishedRetention: config.Limits.FinishedKeyRetention, MaxFinishedKeys: config.Limits.MaxFinishedKeys},
	}
	for _, tenant := range config.Tenants {
		document.Quotas[tenant.Name] = tenant.Quota.Units
		document.Windows[tenant.Name] = tenant.Quota.Window
	}
	return document, nil
}

// Merge applies a JSON merge patch.
func (FleetCodec) Merge(current, change []byte) ([]byte, error) {
	return fleetconfig.Merge(current, change)
}

// MaxBytes is the size of the largest configuration, in bytes.
func (FleetCodec) MaxBytes() int { return fleetconfig.MaxBytes }
