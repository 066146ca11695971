//go:build !faultinjection

// Package faultinjection disables one mechanism of the daemons at a time, by its name, so that tests can show that the
// check of what the mechanism guarantees fails without it. Released daemons are built without the build tag
// faultinjection: in them nothing can be disabled.
package faultinjection

// Disabled reports whether a mechanism is disabled: never, without the build tag.
func Disabled(string) bool { return false }
