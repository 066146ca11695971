//go:build next

package wire

// Fmt of a build one format up, with which the tests roll a fleet to a next release and back.
const Fmt = 2
