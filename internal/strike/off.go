//go:build !strike

// Package strike lets tests strike out one mechanism of the daemons, to see the drill tell the promise
// that it keeps as broken. Released daemons are built without the tag: there is nothing to switch.
package strike

// Out tells whether a mechanism is struck out: never, without the build tag.
//
//	if !strike.Out("claim") { ... }
func Out(string) bool { return false }
