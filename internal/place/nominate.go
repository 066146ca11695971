package place

import "yarrowridge/internal/runner"

// One is a runner that could take the prompt, as nomination sees it.
type One struct {
	Entry *runner.Instance
	Idx   int
	Addr  string
	Home  bool // in our own hall
	Load  int
	Room  int
}

// Bound is how far above the mean load a runner may stand and still be picked for its cache.
const Bound = 1.25

// Nominate picks the runner that most likely holds the prompt's longest prefix, among those whose
// load is within the bound; a prefix that nobody holds goes by rendezvous hash, so that all routers
// pick alike; own hall first among equals. It returns -1 where no runner has room.
//
//	i := place.Nominate(keys, all, memory.Match(keys))
func Nominate(keys []uint64, all []One, depth map[int]int) int {
	sum, n := 0, 0
	for _, o := range all {
		if o.Room > 0 && o.Load >= o.Room {
			continue
		}
		sum += o.Load
		n++
	}
	if n == 0 {
		return -1
	}
	high := int(Bound*float64(sum+1)/float64(n)) + 1
	best := -1
	var key uint64
	if len(keys) > 0 {
		key = keys[min(1, len(keys)-1)]
	}
	better := func(a, b One) bool {
		if da, db := depth[a.Idx], depth[b.Idx]; da != db {
			return da > db
		}
		if a.Home != b.Home {
			return a.Home
		}
		if len(keys) > 0 {
			return Rank(key, a.Addr) > Rank(key, b.Addr)
		}
		if a.Load != b.Load {
			return a.Load < b.Load
		}
		return a.Idx < b.Idx
	}
	for i, o := range all {
		if o.Room > 0 && o.Load >= o.Room || o.Load >= high {
			continue
		}
		if best < 0 || better(o, all[best]) {
			best = i
		}
	}
	return best
}
