// Package hashing mixes the bits of hashes whose high and low bits depend too little on each other, as those of FNV-1a do
// for short keys.
package hashing

// Mix mixes the bits of a hash over the whole word. It is part of the 64-bit finalizer of MurmurHash3 (fmix64, without its
// second multiplication). All routers have to compute the same, in all versions: it must not change.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}
