package core

import (
	"time"

	"yarrowridge/internal/fleetconfig"
)

const defaultMaxFinishedKeys = fleetconfig.RanMost

// fleetConfigCodec reads layouts. A layout does not number itself: the core counts.
type fleetConfigCodec struct{}

// Check reads a whole layout.
func (fleetConfigCodec) Check(raw []byte) (Document, []ConfigError) {
	lay, troubles := fleetconfig.Parse(raw)
	if len(troubles) > 0 {
		flaws := make([]ConfigError, len(troubles))
		for i, trouble := range troubles {
			flaws[i] = ConfigError{Path: trouble.Path, Text: trouble.Text}
		}
		return Document{}, flaws
	}
	doc := Document{
		Quotas:  map[string]int{},
		Windows: map[string]time.Duration{},
		Claims:  ClaimLimits{Keep: lay.Limits.Keep, FinishedKeep: lay.Limits.RanKeep, MaxFinished: lay.Limits.RanMost},
	}
	for _, tenant := range lay.Tenants {
		doc.Quotas[tenant.Name] = tenant.Quota.Units
		doc.Windows[tenant.Name] = tenant.Quota.Window
	}
	return doc, nil
}

// Merge applies a JSON merge patch.
func (fleetConfigCodec) Merge(current, change []byte) ([]byte, error) {
	return fleetconfig.Merge(current, change)
}

// MaxBytes is the size of the largest layout.
func (fleetConfigCodec) MaxBytes() int { return fleetconfig.MaxBytes }
