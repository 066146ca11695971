package quotapool

import (
	"slices"

	"yarrowridge/internal/model/quota"
)

// encodedPool is a pool's record with the offset of each allocation in it. A transfer changes one of hundreds of allocations:
// its bytes are replaced in a copy of the record, so that the others need not be encoded again.
//
// This requires that the generated encoder of storedPool writes Allocations last.
type encodedPool struct {
	raw     []byte
	offsets []int         // of the allocations in raw, and of the end of the last one; nil: not computed
	summary recordSummary // of the contents of raw other than the allocations
}

// recordSummary is compared to detect whether anything other than a pool's allocations changed since the pool was encoded.
// Counts and sums are enough: a transfer only adds to charges and does not change the cooling units.
type recordSummary struct {
	coolingHolders int
	coolingUnits   int
	charges        int
	chargedUnits   int
	aboveLimit     int
}

// unknownSummary differs from the summary of every pool, so that a record of an older version is encoded again in full.
var unknownSummary = recordSummary{coolingHolders: -1}

// summarize returns the summary of a pool's contents other than its allocations.
func summarize(pool *quota.Pool) recordSummary {
	return recordSummary{
		coolingHolders: len(pool.Cooling),
		coolingUnits:   pool.CoolingUnits(),
		charges:        len(pool.Charges),
		chargedUnits:   pool.ChargedUnits(),
		aboveLimit:     pool.AboveLimit,
	}
}

// encodePool encodes a pool; stored must have the same contents as pool.
func encodePool(stored *storedPool, pool *quota.Pool) (encodedPool, error) {
	raw, err := stored.MarshalMsg(nil)
	return encodedPool{raw: raw, summary: summarize(pool)}, err
}

// computeOffsets computes the offset of each allocation in the record.
func (e *encodedPool) computeOffsets(allocations []numberedAllocation) error {
	offsets := make([]int, 1, len(allocations)+1)
	var entries []byte
	for i := range allocations {
		var err error
		if entries, err = allocations[i].MarshalMsg(entries); err != nil {
			return err
		}
		offsets = append(offsets, len(entries))
	}
	for i := range offsets {
		offsets[i] += len(e.raw) - len(entries)
	}
	e.offsets = offsets
	return nil
}

// replaceAllocation replaces the allocation at an index by another one of the same holder. The result is a new record; the
// previous one is not modified.
func (e *encodedPool) replaceAllocation(allocations []numberedAllocation, index int, changed numberedAllocation) error {
	if e.offsets == nil {
		if err := e.computeOffsets(allocations); err != nil {
			return err
		}
	}
	entry, err := changed.MarshalMsg(nil)
	if err != nil {
		return err
	}
	begin, end := e.offsets[index], e.offsets[index+1]
	e.raw = slices.Concat(e.raw[:begin], entry, e.raw[end:])
	if delta := begin + len(entry) - end; delta != 0 {
		for i := index + 1; i < len(e.offsets); i++ {
			e.offsets[i] += delta
		}
	}
	return nil
}
