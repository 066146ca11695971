// Package settings reads the settings of a program from its flags and a JSON file, and checks them. What does not hold is
// reported as a list of sentences (Problems) that name the setting, its value and what was expected.
package settings

import (
	"strings"
	"time"
)

// Kind is what a setting's value must look like.
type Kind int

// The kinds of setting.
const (
	Text     Kind = iota // a word without spaces or quotes
	Addr                 // ip:port
	List                 // ip:port, comma-separated; a JSON list in the file
	Duration             // a duration above zero, such as "2s"
	Dir                  // a folder; it may not exist yet
	Hash                 // a SHA-256 as 64 hex digits
	Level                // a log level: debug, info, warn or error
	IP                   // an ip number
)

// Setting describes one setting.
type Setting struct {
	Name       string // of the flag, and the key in the file
	Kind       Kind
	Default    string
	Required   bool   // has to be set
	Reloadable bool   // a reload may change it; the package itself does not look at this
	Help       string // for the list of flags
}

// Values is each setting's value by name; empty: not set.
type Values map[string]string

// Addrs splits a List setting; nil: not set.
func (v Values) Addrs(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

// Duration returns the value of a Duration setting that was checked; 0: not set.
func (v Values) Duration(name string) time.Duration {
	duration, _ := time.ParseDuration(v[name])
	return duration
}

// ValueOr returns the value of a setting, or that of another where it is not set.
func (v Values) ValueOr(name, other string) string {
	if v[name] != "" {
		return v[name]
	}
	return v[other]
}
