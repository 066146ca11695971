// Package settings reads and checks the settings of a program, from its flags and a JSON file.
package settings

import (
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

// Kind is what a setting must look like.
type Kind int

// The kinds of setting.
const (
	Text     Kind = iota // any string that is not empty
	Addr                 // ip:port
	List                 // ip:port, comma-separated; a JSON list in the file
	Duration             // a duration such as "2s"
	Dir                  // a folder
	Hash                 // 64 hex digits
	Level                // a log level
	IP                   // an ip number
)

// Setting describes one setting: what the flag, the key in the file and the check are called.
type Setting struct {
	Name       string
	Kind       Kind
	Default    string
	Required   bool // has to be set
	Reloadable bool // may be reloaded
	Help       string
}

// Values is what was settled: every setting by name.
type Values map[string]string

// Addrs splits a List setting.
func (s Values) Addrs(name string) []string {
	if s[name] == "" {
		return nil
	}
	return strings.Split(s[name], ",")
}

// Duration reads a Span setting, already checked.
func (s Values) Duration(name string) time.Duration {
	duration, _ := time.ParseDuration(s[name])
	return duration
}

// ValueOr reads a setting, or another where it is not set.
func (s Values) ValueOr(name, other string) string {
	if s[name] != "" {
		return s[name]
	}
	return s[other]
}

// Problems is a list of plain sentences about settings that do not hold.
type Problems []string

// Error joins them, a line each.
func (t Problems) Error() string { return strings.Join(t, "\n") }

// Command is what the command line asked for beyond settings.
type Command struct {
	Check, Version bool
	File           string
}

// Read settles the settings from args and, where -env names one, a JSON file. Flags win.
func Read(prog string, items []Setting, args []string) (Values, Command, error) {
	var command Command
	flagSet := flag.NewFlagSet(prog, flag.ContinueOnError)
	flagSet.StringVar(&command.File, "env", "", "settings file (JSON); flags win over it")
	flagSet.BoolVar(&command.Check, "check", false, "check the settings and exit")
	flagSet.BoolVar(&command.Version, "version", false, "print the version and exit")
	values := map[string]*string{}
	for _, setting := range items {
		values[setting.Name] = flagSet.String(setting.Name, setting.Default, setting.Help)
	}
	if err := flagSet.Parse(args); err != nil {
		return nil, command, err
	}
	if command.Version {
		return Values{}, command, nil
	}
	if flagSet.NArg() > 0 {
		return nil, command, Problems{fmt.Sprintf("argument %q: nothing expected after the flags", flagSet.Arg(0))}
	}
	set := Values{}
	for _, setting := range items {
		set[setting.Name] = *values[setting.Name]
	}
	var problems Problems
	if command.File != "" {
		raw, err := os.ReadFile(command.File)
		if err != nil {
			return nil, command, eris.Wrapf(err, "settings file %s", command.File)
		}
		flags := map[string]bool{}
		flagSet.Visit(func(f *flag.Flag) { flags[f.Name] = true })
		got, t := parse(items, raw)
		problems = append(problems, t...)
		for k, value := range got {
			if !flags[k] {
				set[k] = value
			}
		}
	}
	problems = append(problems, Check(items, set)...)
	if len(problems) > 0 {
		return nil, command, problems
	}
	return set, command, nil
}

func parse(items []Setting, raw []byte) (Values, Problems) {
	if !gjson.ValidBytes(raw) {
		return nil, Problems{"settings file: valid JSON expected"}
	}
	doc := gjson.ParseBytes(raw)
	if !doc.IsObject() {
		return nil, Problems{"settings file: a JSON object expected"}
	}
	know := map[string]Setting{}
	for _, setting := range items {
		know[setting.Name] = setting
	}
	set, problems := Values{}, Problems{}
	doc.ForEach(func(k, v gjson.Result) bool {
		setting, ok := know[k.String()]
		switch {
		case !ok:
			problems = append(problems, fmt.Sprintf("setting %q: unknown", k.String()))
		case setting.Kind == List && v.IsArray():
			var all []string
			for _, e := range v.Array() {
				all = append(all, e.String())
			}
			set[setting.Name] = strings.Join(all, ",")
		case v.Type == gjson.String:
			set[setting.Name] = v.String()
		default:
			problems = append(problems, fmt.Sprintf("setting %q: value %s: a string%s expected", setting.Name, v.Raw, map[bool]string{true: " or a list of strings"}[setting.Kind == List]))
		}
		return true
	})
	return set, problems
}

// Check tells everything that is wrong with a set, by name, value and what was expected.
func Check(items []Setting, set Values) Problems {
	var problems Problems
	say := func(name, value, want string) {
		problems = append(problems, fmt.Sprintf("setting %q: value %q: %s expected", name, value, want))
	}
	for _, setting := range items {
		value := set[setting.Name]
		if value == "" {
			if setting.Required {
				say(setting.Name, value, "a value")
			}
			continue
		}
		switch setting.Kind {
		case Addr:
			if _, err := netip.ParseAddrPort(value); err != nil {
				say(setting.Name, value, "ip:port")
			}
		case IP:
			if _, err := netip.ParseAddr(value); err != nil {
				say(setting.Name, value, "an ip number")
			}
		case List:
			for _, a := range strings.Split(value, ",") {
				if _, err := netip.ParseAddrPort(a); err != nil {
					say(setting.Name, a, "ip:port in each place")
				}
			}
		case Duration:
			if duration, err := time.ParseDuration(value); err != nil || duration <= 0 {
				say(setting.Name, value, "a duration above zero, such as 2s")
			}
		case Dir:
			if st, err := os.Stat(value); err == nil && !st.IsDir() {
				say(setting.Name, value, "a folder")
			}
		case Hash:
			if b, err := hex.DecodeString(value); err != nil || len(b) != 32 {
				say(setting.Name, value, "64 hex digits, a SHA-256,")
			}
		case Level:
			if value != "debug" && value != "info" && value != "warn" && value != "error" {
				say(setting.Name, value, "debug, info, warn or error")
			}
		case Text:
			if strings.ContainsAny(value, " \t\r\n\"") {
				say(setting.Name, value, "a word without spaces or quotes")
			}
		}
	}
	sort.Strings(problems)
	return problems
}
