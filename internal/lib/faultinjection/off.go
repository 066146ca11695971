//go:build !faultinjection

// Package faultinjection lets tests disable one mechanism of the daemons by its name. A test can thus show that the check of
// the mechanism's guarantee fails without the mechanism. Released daemons are built without the build tag faultinjection,
// so that no mechanism can be disabled in them.
package faultinjection

// Disabled reports whether a mechanism is disabled. Without the build tag it always returns false.
func Disabled(string) bool { return false }
