package place

import (
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/hashing"
)

// Candidate is a runner that can serve the prompt, with what Choose needs to compare it.
type Candidate struct {
	Instance *runner.Instance
	Index    int
	Address  string
	SameZone bool // in the router's own zone
	Load     int  // streams on it, as far as this router knows
	Capacity int  // maximum of concurrent streams; 0: unknown
}

// isFull reports whether the runner is at its capacity. A runner of unknown capacity is never full.
func (c Candidate) isFull() bool { return c.Capacity > 0 && c.Load >= c.Capacity }

// MaxLoadFactor is the highest ratio of a runner's load to the mean load at which the runner may still be chosen, as in
// consistent hashing with bounded loads (Mirrokni et al. 2018).
const MaxLoadFactor = 1.25

// Choose returns the position in candidates of the runner that most likely has the longest prefix of the prompt in its cache,
// among those within the load limit. Among equals it prefers the router's own zone, then the highest rendezvous weight for the
// prefix, so that all routers of a zone choose the same runner. It returns -1 if no runner has capacity.
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

// comparison ranks candidates for one prompt.
type comparison struct {
	depth  map[int]int // leading blocks of the prompt in the runner's prefix cache, by runner index
	hasKey bool        // the prompt has a complete block; otherwise the load decides
	key    uint64      // the prefix hash for the rendezvous weight
}

// newComparison takes the rendezvous key from the prompt's second block if it has one: many prompts share their first block.
func newComparison(keys []uint64, depth map[int]int) comparison {
	if len(keys) == 0 {
		return comparison{depth: depth}
	}
	return comparison{depth: depth, hasKey: true, key: keys[min(1, len(keys)-1)]}
}

// better reports whether a is a better choice than b.
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
