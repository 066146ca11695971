package configuration

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// Codec reads the configuration documents that operators write. The core stores them as they came. Check and Merge are
// called by the goroutine of the core's run loop and must not block; MaxBytes may be called concurrently.
type Codec interface {
	// Check decodes a whole document. With any error the document is invalid.
	Check(raw []byte) (document Document, configErrors []coreapi.ConfigError)
	// Merge applies a partial change to the current document.
	Merge(current, change []byte) (raw []byte, err error)
	// MaxBytes is the size of the largest document, in bytes.
	MaxBytes() int
}

// Document is what the core itself needs to know of a configuration.
type Document struct {
	// Version is the number that the document gives itself; it must be above the current one.
	// 0: the core counts on from the current one.
	Version uint64
	Quotas  map[string]int           // units of each tenant that has a quota
	Windows map[string]time.Duration // in which a tenant's units may be spent once
	Claims  ClaimLimits

	// Tolerances are units of each tenant that may be acquired on top of its quota while as many cool: what a
	// holder that is gone may have spent counts in full, though it seldom spent all. Any ToleranceWindow sees each
	// tenant's tolerance spent once at most.
	Tolerances      map[string]int
	ToleranceWindow time.Duration
}

// ClaimLimits bound how long and how many idempotency keys are kept. Zeros mean the defaults.
type ClaimLimits struct {
	Retention         time.Duration // how long a claim is kept with its response; default 1 h
	FinishedRetention time.Duration // how long it is kept that a key ran; default 48 h
	MaxFinishedKeys   int           // how many finished keys are kept at most; default fleetconfig.RanMost
}

// withDefaults puts defaults where nothing is set.
func (l ClaimLimits) withDefaults() ClaimLimits {
	if l.Retention == 0 {
		l.Retention = time.Hour
	}
	if l.FinishedRetention == 0 {
		l.FinishedRetention = 48 * time.Hour
	}
	if l.MaxFinishedKeys == 0 {
		l.MaxFinishedKeys = defaultMaxFinishedKeys
	}
	return l
}
