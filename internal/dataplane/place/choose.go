package place

import "yarrowridge/internal/dataplane/runner"

// Candidate is a runner that could take the prompt, as the choice sees it.
type Candidate struct {
	Instance *runner.Instance
	Index    int
	Addr     string
	SameZone bool // in our own zone
	Load     int
	Room     int
}

// LoadBound is how far above the mean load a runner may stand and still be picked for its cache.
const LoadBound = 1.25

// Choose picks the runner that most likely holds the prompt's longest prefix, among those whose
// load is within the bound; a prefix that nobody holds goes by rendezvous hash, so that all routers
// pick alike; own zone first among equals. It returns -1 where no runner has room.
func Choose(keys []uint64, candidates []Candidate, depth map[int]int) int {
	sum, n := 0, 0
	for _, candidate := range candidates {
		if candidate.Room > 0 && candidate.Load >= candidate.Room {
			continue
		}
		sum += candidate.Load
		n++
	}
	if n == 0 {
		return -1
	}
	high := int(LoadBound*float64(sum+1)/float64(n)) + 1
	best := -1
	var key uint64
	if len(keys) > 0 {
		key = keys[min(1, len(keys)-1)]
	}
	better := func(a, b Candidate) bool {
		if da, db := depth[a.Index], depth[b.Index]; da != db {
			return da > db
		}
		if a.SameZone != b.SameZone {
			return a.SameZone
		}
		if len(keys) > 0 {
			return RendezvousWeight(key, a.Addr) > RendezvousWeight(key, b.Addr)
		}
		if a.Load != b.Load {
			return a.Load < b.Load
		}
		return a.Index < b.Index
	}
	for i, candidate := range candidates {
		if candidate.Room > 0 && candidate.Load >= candidate.Room || candidate.Load >= high {
			continue
		}
		if best < 0 || better(candidate, candidates[best]) {
			best = i
		}
	}
	return best
}
