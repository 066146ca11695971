package configuration

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// Codec decodes the configuration documents that operators write. The core stores the documents unchanged. Check and Merge
// are called by the goroutine of the core's run loop and must not block; MaxBytes may be called concurrently.
type Codec interface {
	// Check decodes and validates a complete document. The document is valid only if there are no errors.
	Check(raw []byte) (document Document, configErrors []coreapi.ConfigError)
	// Merge applies a partial change to the current document and returns the new document.
	Merge(current, change []byte) (raw []byte, err error)
	// MaxBytes returns the maximum size of a document in bytes.
	MaxBytes() int
}

// Document contains the settings of a configuration that the core itself uses.
type Document struct {
	// Version is the version that the document itself carries. It has to be above the current version. 0 means that the core
	// assigns the version, which is one above the current one.
	Version uint64
	Quotas  map[string]int           // units of each tenant that has a quota
	Windows map[string]time.Duration // period in which each of a tenant's units may be spent once
	Claims  ClaimLimits

	// Tolerances are the units per tenant that may be acquired above its quota while at least as many units are cooling.
	// Cooling units count in full, although the holder that is gone rarely spent all of them. Within any ToleranceWindow, the
	// tolerance of a tenant is spent once at most.
	Tolerances      map[string]int
	ToleranceWindow time.Duration
}

// ClaimLimits limit how many idempotency keys are stored and for how long. Zero values mean the defaults.
type ClaimLimits struct {
	Retention         time.Duration // of a claim with its response; default 1 h
	FinishedRetention time.Duration // of the fact that a request with this key ran; default 48 h
	MaxFinishedKeys   int           // maximum number of finished keys stored; default defaultMaxFinishedKeys
}

// withDefaults returns the limits with zero values replaced by the defaults.
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
