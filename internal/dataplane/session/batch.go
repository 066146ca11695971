package session

// Pack encodes entries as a batch in which each runner ID occurs once.
func Pack(entries []Entry) *Batch {
	batch := &Batch{Entries: make([]PackedEntry, 0, len(entries))}
	indexes := map[string]int{}
	for _, entry := range entries {
		packed := PackedEntry{Session: entry.Session, Version: entry.Version, Runners: make([]int, 0, len(entry.Runners))}
		for _, runner := range entry.Runners {
			index, known := indexes[runner]
			if !known {
				index = len(batch.Runners)
				indexes[runner] = index
				batch.Runners = append(batch.Runners, runner)
			}
			packed.Runners = append(packed.Runners, index)
		}
		batch.Entries = append(batch.Entries, packed)
	}
	return batch
}

// Unpack returns the entries of a batch. Runner indexes that are out of range are ignored.
func (b *Batch) Unpack() []Entry {
	entries := make([]Entry, 0, len(b.Entries))
	for _, packed := range b.Entries {
		entry := Entry{Session: packed.Session, Version: packed.Version}
		for _, index := range packed.Runners {
			if index >= 0 && index < len(b.Runners) {
				entry.Runners = append(entry.Runners, b.Runners[index])
			}
		}
		entries = append(entries, entry)
	}
	return entries
}
