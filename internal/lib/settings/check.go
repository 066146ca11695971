package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Problems is an error that lists everything invalid about some settings, one sentence each.
type Problems []string

// Error returns the sentences, one per line.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// mismatch returns the sentence about an invalid value.
func mismatch(name, value, want string) string {
	return fmt.Sprintf("setting %q: value %q: %s expected", name, value, want)
}

// kindChecks has for each kind the check of its values and the text that states the expected form. The elements of a List are
// checked one by one.
var kindChecks = map[Kind]struct {
	valid func(value string) bool
	want  string
}{
	Text:     {isWord, "a word without spaces or quotes"},
	Addr:     {isAddrPort, "ip:port"},
	List:     {isAddrPort, "ip:port in each place"},
	Duration: {isPositiveDuration, "a duration above zero, such as 2s"},
	Dir:      {mayBeDirectory, "a folder"},
	Hash:     {isSHA256, "64 hex digits, a SHA-256,"},
	Level:    {isLevel, "debug, info, warn or error"},
	IP:       {isIP, "an ip number"},
}

func isWord(value string) bool { return !strings.ContainsAny(value, " \t\r\n\"") }

func isAddrPort(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

func isIP(value string) bool {
	_, err := netip.ParseAddr(value)
	return err == nil
}

func isPositiveDuration(value string) bool {
	duration, err := time.ParseDuration(value)
	return err == nil && duration > 0
}

// mayBeDirectory reports whether a path is a directory or cannot be examined. The program creates a missing directory itself.
func mayBeDirectory(path string) bool {
	info, err := os.Stat(path)
	return err != nil || info.IsDir()
}

func isSHA256(value string) bool {
	digest, err := hex.DecodeString(value)
	return err == nil && len(digest) == 32
}

func isLevel(value string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, value)
}

// Check returns everything invalid about values, sorted; nil: all values are valid.
func Check(items []Setting, values Values) Problems {
	var problems Problems
	for _, setting := range items {
		problems = append(problems, setting.check(values[setting.Name])...)
	}
	slices.Sort(problems)
	return problems
}

// check returns the problems with the setting's value.
func (s Setting) check(value string) Problems {
	if value == "" {
		if s.Required {
			return Problems{mismatch(s.Name, value, "a value")}
		}
		return nil
	}
	elements := []string{value}
	if s.Kind == List {
		elements = strings.Split(value, ",")
	}
	var problems Problems
	kind := kindChecks[s.Kind]
	for _, element := range elements {
		if !kind.valid(element) {
			problems = append(problems, mismatch(s.Name, element, kind.want))
		}
	}
	return problems
}
