// Package settings reads the settings of a program from its flags and a JSON file, and checks them. Invalid settings are
// reported as a list of sentences (Problems) that name the setting, its value and what was expected.
package settings

import (
	"strings"
	"time"
)

// Kind is the form of a setting's value.
type Kind int

// Kinds of settings.
const (
	Text     Kind = iota // a word without spaces or quotes
	Addr                 // ip:port
	List                 // ip:port, comma-separated; a JSON list in the file
	Duration             // a duration above zero, such as "2s"
	Dir                  // path of a directory, which need not exist yet
	Hash                 // a SHA-256 as 64 hex digits
	Level                // a log level: debug, info, warn or error
	IP                   // an IP address
)

// Setting describes one setting.
type Setting struct {
	Name       string // name of the flag and key in the file
	Kind       Kind
	Default    string
	Required   bool   // must not be empty
	Reloadable bool   // may change on a reload; not used by this package
	Help       string // usage text of the flag
}

// Values maps the names of settings to their values; empty: not set.
type Values map[string]string

// Addrs returns the elements of a List setting; nil: not set.
func (v Values) Addrs(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

// Duration returns the value of a checked Duration setting; 0: not set.
func (v Values) Duration(name string) time.Duration {
	duration, _ := time.ParseDuration(v[name])
	return duration
}

// ValueOr returns the value of the setting name or, if that is not set, of the setting other.
func (v Values) ValueOr(name, other string) string {
	if v[name] != "" {
		return v[name]
	}
	return v[other]
}
