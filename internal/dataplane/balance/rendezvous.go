package balance

import (
	"yarrowridge/internal/lib/hashing"
)

// affinity gives the key by which all routers pick the same runner for a session, and how many tokens of
// the prompt that runner is expected to keep.
func affinity(parts []PromptPart) (key uint64, shared int) {
	if len(parts) == 0 {
		return 0, 0
	}
	// The last part is the request's own, unless there is no other.
	for _, part := range parts[:max(1, len(parts)-1)] {
		shared += part.Tokens
		key = part.ID
	}
	return key, shared
}

// rendezvous picks the usable runner with the highest weight for a key: every router works out the same one, and a change of
// the set moves only the keys of the runner that came or went. Nil: the key is none, or there is no such runner. target is the
// ready runner with the highest weight, ejected or not.
func rendezvous(candidates []candidate, key uint64) (first *Runner, target string) {
	if key == 0 {
		return nil, ""
	}
	var firstWeight, targetWeight uint64
	for i := range candidates {
		c := &candidates[i]
		weight := hashing.RendezvousWeight(key, c.id)
		if c.ready && (target == "" || weight > targetWeight) {
			target, targetWeight = c.id, weight
		}
		if !c.ejected && (first == nil || weight > firstWeight) {
			first, firstWeight = c.runner, weight
		}
	}
	return first, target
}
