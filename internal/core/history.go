package core

import "strconv"

// What is kept of older configurations and of write ids is bounded by counting writes, not by
// arithmetic on sequences, where documents number themselves.

const (
	historyKey       = "history"
	maxLargeVersions = 3        // copies kept of large documents
	largeDocument    = 64 << 10 // documents above this size are large
	maxKeptDocument  = 1 << 20  // of documents above this size no copy is kept: a batch has to fit one frame
)

// history reads what is kept of earlier writes. known is false where the core has counted all along, and
// a write's count is its sequence.
func (t *Tx) history(current uint64) (h WriteHistory, known bool, err error) {
	raw, known := t.Get(historyKey)
	if known {
		_, err = h.UnmarshalMsg(raw)
		return h, known, err
	}
	h.Writes = current
	for sequence := current - min(current, maxVersions-1); sequence <= current; sequence++ {
		if sequence > 0 {
			h.KeptVersions = append(h.KeptVersions, sequence)
		}
	}
	return h, false, nil
}

// keepVersion keeps a copy of the new sheet for reading back, and drops the oldest copies beyond the bound.
func (t *Tx) keepVersion(h *WriteHistory, sheet *StoredConfig, numbered bool) error {
	if len(sheet.Raw) <= maxKeptDocument {
		if err := t.Put(versionKey(sheet.Version), sheet); err != nil {
			return err
		}
		h.KeptVersions = append(h.KeptVersions, sheet.Version)
	}
	most := maxVersions
	if numbered && len(sheet.Raw) > largeDocument {
		most = maxLargeVersions
	}
	for len(h.KeptVersions) > most {
		t.Drop(versionKey(h.KeptVersions[0]))
		h.KeptVersions = h.KeptVersions[1:]
	}
	return nil
}

// keepWriteID remembers the id of the write with this count, and forgets the id of one long ago.
func (t *Tx) keepWriteID(count uint64, id string, mark WriteRecord) error {
	if id != "" {
		if err := t.Put("mark/"+id, &mark); err != nil {
			return err
		}
		if err := t.Put("marked/"+strconv.FormatUint(count, 10), &Claim{Claimant: id}); err != nil {
			return err
		}
	}
	if count <= maxWriteIDs {
		return nil
	}
	key := "marked/" + strconv.FormatUint(count-maxWriteIDs, 10)
	if raw, ok := t.Get(key); ok {
		var c Claim
		if _, err := c.UnmarshalMsg(raw); err == nil {
			t.Drop("mark/" + c.Claimant)
		}
		t.Drop(key)
	}
	return nil
}
