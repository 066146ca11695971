package session

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:100000 maps:1000

//msgp:ignore Entry

//msgp:tuple PackedEntry

// PackedEntry is an Entry whose holders are places in its batch's list of runners.
type PackedEntry struct {
	Session uint64
	Version uint64
	Holders []int
}

// Batch carries entries between routers. Each runner's id stands in it once.
type Batch struct {
	Runners []string      `msg:"r"`
	Entries []PackedEntry `msg:"e"`
	Partial bool          `msg:"p,omitempty"` // the router that answers a Fetch has not fetched itself yet
}

// Fetch asks a router for the entries that it used last.
type Fetch struct {
	Most int `msg:"m"`
}

// Pack makes a batch of entries.
func Pack(entries []Entry) *Batch {
	batch := &Batch{Entries: make([]PackedEntry, 0, len(entries))}
	places := map[string]int{}
	for _, entry := range entries {
		packed := PackedEntry{Session: entry.Session, Version: entry.Version, Holders: make([]int, 0, len(entry.Holders))}
		for _, runner := range entry.Holders {
			place, known := places[runner]
			if !known {
				place = len(batch.Runners)
				places[runner] = place
				batch.Runners = append(batch.Runners, runner)
			}
			packed.Holders = append(packed.Holders, place)
		}
		batch.Entries = append(batch.Entries, packed)
	}
	return batch
}

// Unpack gives the entries of a batch. Holders that the batch does not name are left out.
func (b *Batch) Unpack() []Entry {
	entries := make([]Entry, 0, len(b.Entries))
	for _, packed := range b.Entries {
		entry := Entry{Session: packed.Session, Version: packed.Version}
		for _, place := range packed.Holders {
			if place >= 0 && place < len(b.Runners) {
				entry.Holders = append(entry.Holders, b.Runners[place])
			}
		}
		entries = append(entries, entry)
	}
	return entries
}
