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

// Problems is an error that lists what does not hold of some settings, a sentence each.
type Problems []string

// Error joins the sentences, a line each.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// mismatch is the sentence about a value that does not hold.
func mismatch(name, value, want string) string {
	return fmt.Sprintf("setting %q: value %q: %s expected", name, value, want)
}

// kindChecks has the check of each kind's values, and what it wants in the words of a Problem. Of a List it checks each element.
var kindChecks = map[Kind]struct {
	valid func(value string) bool
	want  string
}{
	Text:     {isWord, "a word without spaces or quotes"},
	Addr:     {isAddrPort, "ip:port"},
	List:     {isAddrPort, "ip:port in each place"},
	Duration: {isPositiveDuration, "a duration above zero, such as 2s"},
	Dir:      {mayBeFolder, "a folder"},
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

// mayBeFolder reports whether a path is a folder, or nothing that can be seen yet: the program makes it.
func mayBeFolder(path string) bool {
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

// Check returns everything that does not hold of values, sorted; nil: all holds.
func Check(items []Setting, values Values) Problems {
	var problems Problems
	for _, setting := range items {
		problems = append(problems, setting.check(values[setting.Name])...)
	}
	slices.Sort(problems)
	return problems
}

// check returns what does not hold of the setting's value.
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
