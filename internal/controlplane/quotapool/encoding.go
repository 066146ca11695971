package quotapool

import (
	"slices"

	"yarrowridge/internal/model/quota"
)

// encodedPool is a pool's record together with where each allocation stands in it. A transfer changes one allocation of
// hundreds: its bytes are replaced in a copy of the record, in place of encoding all of them.
//
// It rests on the generated encoder of storedPool writing Allocations last.
type encodedPool struct {
	raw        []byte
	boundaries []int         // of the allocations in raw, one more than there are; nil: not known
	summary    recordSummary // of what raw has beside the allocations
}

// recordSummary tells whether a pool has changed in anything beside its allocations since it was encoded. A transfer only
// adds to charges, and leaves what cools as it is.
type recordSummary struct {
	coolingHolders int
	coolingUnits   int
	charges        int
	chargedUnits   int
	aboveLimit     int
}

// unknownSummary is that of no pool: a record that older versions wrote is encoded anew.
var unknownSummary = recordSummary{coolingHolders: -1}

// summarize summarizes what a pool has beside its allocations.
func summarize(pool *quota.Pool) recordSummary {
	return recordSummary{
		coolingHolders: len(pool.Cooling),
		coolingUnits:   pool.CoolingUnits(),
		charges:        len(pool.Charges),
		chargedUnits:   pool.ChargedUnits(),
		aboveLimit:     pool.AboveLimit,
	}
}

// encodePool encodes a pool.
func encodePool(stored *storedPool, pool *quota.Pool) (encodedPool, error) {
	raw, err := stored.MarshalMsg(nil)
	return encodedPool{raw: raw, summary: summarize(pool)}, err
}

// locate finds where each allocation stands in the record.
func (e *encodedPool) locate(allocations []numberedAllocation) error {
	boundaries := make([]int, 1, len(allocations)+1)
	var entries []byte
	for i := range allocations {
		var err error
		if entries, err = allocations[i].MarshalMsg(entries); err != nil {
			return err
		}
		boundaries = append(boundaries, len(entries))
	}
	for i := range boundaries {
		boundaries[i] += len(e.raw) - len(entries)
	}
	e.boundaries = boundaries
	return nil
}

// replace replaces the allocation at an index by another one of the same holder, in a new record.
func (e *encodedPool) replace(allocations []numberedAllocation, index int, changed numberedAllocation) error {
	if e.boundaries == nil {
		if err := e.locate(allocations); err != nil {
			return err
		}
	}
	entry, err := changed.MarshalMsg(nil)
	if err != nil {
		return err
	}
	begin, end := e.boundaries[index], e.boundaries[index+1]
	e.raw = slices.Concat(e.raw[:begin], entry, e.raw[end:])
	if grown := begin + len(entry) - end; grown != 0 {
		for i := index + 1; i < len(e.boundaries); i++ {
			e.boundaries[i] += grown
		}
	}
	return nil
}
