// Package spread evens out hashes whose high and low bits depend too little on each other.
package hashing

// Mix spreads the bits of a hash over the whole word. It is a part of the finalizer of MurmurHash3; every
// router has to compute the same, so it must not change.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
