package balance

import (
	"yarrowridge/internal/lib/hashing"
)

// affinity returns the key by which all routers map a session to the same runner, and the number of leading prompt
// tokens that this runner is expected to have cached.
func affinity(parts []PromptPart) (key uint64, shared int) {
	if len(parts) == 0 {
		return 0, 0
	}
	// The last part is specific to the request, unless it is the only one.
	for _, part := range parts[:max(1, len(parts)-1)] {
		shared += part.Tokens
		key = part.ID
	}
	return key, shared
}

// rendezvous returns the candidate with the highest rendezvous weight for a key that is not ejected, or nil if there is
// none or the key is 0. Routers with the same usable candidates compute the same runner, and when a runner joins or
// leaves, only its own keys move. target is the ID of the ready candidate with the highest weight, ejected or not.
func rendezvous(candidates []candidate, key uint64) (preferred *Runner, target string) {
	if key == 0 {
		return nil, ""
	}
	var preferredWeight, targetWeight uint64
	for i := range candidates {
		c := &candidates[i]
		weight := hashing.RendezvousWeight(key, c.id)
		if c.ready && (target == "" || weight > targetWeight) {
			target, targetWeight = c.id, weight
		}
		if !c.ejected && (preferred == nil || weight > preferredWeight) {
			preferred, preferredWeight = c.runner, weight
		}
	}
	return preferred, target
}
