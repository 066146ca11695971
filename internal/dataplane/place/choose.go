package place

import (
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/hashing"
)

// Candidate is a runner that could take the prompt, as the choice sees it.
type Candidate struct {
	Instance *runner.Instance
	Index    int
	Address  string
	SameZone bool // in our own zone
	Load     int  // streams on it, by all accounts
	Capacity int  // streams that it takes at once; 0: not known
}

// isFull reports whether the runner takes no more streams. A capacity of 0 is not known, and never full.
func (c Candidate) isFull() bool { return c.Capacity > 0 && c.Load >= c.Capacity }

// MaxLoadFactor is how far above the mean load a runner may stand and still be chosen for its prefix cache, as in consistent
// hashing with bounded loads (Mirrokni et al. 2018).
const MaxLoadFactor = 1.25

// Choose returns the index of the runner that most likely has the prompt's longest prefix in its cache, among those whose
// load is within the bound. A prefix that nobody has goes by rendezvous hash, so that all routers choose alike; the own
// zone goes first among equals. It returns -1 where no runner has capacity.
func Choose(keys []uint64, candidates []Candidate, depth map[int]int) int {
	loadSum, available := 0, 0
	for _, candidate := range candidates {
		if candidate.isFull() {
			continue
		}
		loadSum += candidate.Load
		available++
	}
	if available == 0 {
		return -1
	}
	loadLimit := int(MaxLoadFactor*float64(loadSum+1)/float64(available)) + 1
	compare := newComparison(keys, depth)
	best := -1
	for i, candidate := range candidates {
		if candidate.isFull() || candidate.Load >= loadLimit {
			continue
		}
		if best < 0 || compare.better(candidate, candidates[best]) {
			best = i
		}
	}
	return best
}

// comparison orders candidates for one prompt.
type comparison struct {
	depth  map[int]int // leading blocks in the prefix cache, by runner index
	hasKey bool
	key    uint64 // the prefix by which runners are ranked where nobody has it
}

// newComparison ranks by the prompt's second block where it has one: first blocks are often the same for many prompts.
func newComparison(keys []uint64, depth map[int]int) comparison {
	if len(keys) == 0 {
		return comparison{depth: depth}
	}
	return comparison{depth: depth, hasKey: true, key: keys[min(1, len(keys)-1)]}
}

// better reports whether a should be chosen rather than b.
func (c comparison) better(a, b Candidate) bool {
	if depthA, depthB := c.depth[a.Index], c.depth[b.Index]; depthA != depthB {
		return depthA > depthB
	}
	if a.SameZone != b.SameZone {
		return a.SameZone
	}
	if c.hasKey {
		return hashing.RendezvousWeight(c.key, a.Address) > hashing.RendezvousWeight(c.key, b.Address)
	}
	if a.Load != b.Load {
		return a.Load < b.Load
	}
	return a.Index < b.Index
}
