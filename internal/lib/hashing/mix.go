// Package hashing provides stable hash functions. Mix improves hashes whose high and low bits depend too little on each
// other, such as those of FNV-1a for short keys.
package hashing

// Mix spreads the bits of a hash over the whole word. It is the first half of fmix64, the 64-bit finalizer of MurmurHash3:
// the steps before the second multiplication. It must not change: routers of all versions have to compute the same value.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}
