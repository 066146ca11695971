package configuration

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/fleetconfig"
)

// defaultMaxFinishedKeys is the maximum number of finished keys stored if the configuration sets none.
const defaultMaxFinishedKeys = fleetconfig.DefaultMaxFinishedKeys

// FleetCodec decodes fleet configurations (package fleetconfig). They carry no version of their own: the core assigns it.
type FleetCodec struct{}

// Check implements Codec.
func (FleetCodec) Check(raw []byte) (Document, []coreapi.ConfigError) {
	config, errors := fleetconfig.Parse(raw)
	if len(errors) > 0 {
		configErrors := make([]coreapi.ConfigError, len(errors))
		for i, problem := range errors {
			configErrors[i] = coreapi.ConfigError{Path: problem.Path, Text: problem.Text}
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

// Merge implements Codec. The change is a JSON merge patch.
func (FleetCodec) Merge(current, change []byte) ([]byte, error) {
	return fleetconfig.Merge(current, change)
}

// MaxBytes implements Codec.
func (FleetCodec) MaxBytes() int { return fleetconfig.MaxBytes }
