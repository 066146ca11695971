//go:build next

package wire

// FormatVersion of a build one format up, with which the tests roll a fleet to a next release and back.
const FormatVersion = 2
