package core

import (
	"time"
	"yarrowridge/internal/controlplane/coreapi"
)

// Codec reads the configuration documents that operators write. The core keeps them as they came.
type Codec interface {
	// Check reads a whole document. With any flaw the document is invalid.
	Check(raw []byte) (document Document, configErrors []coreapi.ConfigError)
	// Merge applies a partial change to the current document.
	Merge(current, change []byte) (raw []byte, err error)
	// MaxBytes is the size of the largest document.
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

	// Tolerances are units of each tenant that may be drawn on top of its quota while as many cool: what a
	// holder that is gone may have spent counts whole, though it seldom spent all. Any ToleranceWindow sees each
	// tenant's tolerance spent once at the most.
	Tolerances      map[string]int
	ToleranceWindow time.Duration
}

// ClaimLimits bound how long and how many once-only keys are kept. Zeros mean the defaults.
type ClaimLimits struct {
	Keep         time.Duration // how long a claim is kept with what became of it
	FinishedKeep time.Duration // how long it is kept that a key ran
	MaxFinished  int           // how many such keys are kept at the most
}

// withDefaults puts defaults where nothing is set.
func (l ClaimLimits) withDefaults() ClaimLimits {
	if l.Keep == 0 {
		l.Keep = time.Hour
	}
	if l.FinishedKeep == 0 {
		l.FinishedKeep = 48 * time.Hour
	}
	if l.MaxFinished == 0 {
		l.MaxFinished = defaultMaxFinishedKeys
	}
	return l
}
