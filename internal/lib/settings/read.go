package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

// Command holds the options of the command line that are not settings.
type Command struct {
	Check   bool   // check the settings and exit
	Version bool   // print the version and exit; settings are neither read nor checked
	File    string // path of the settings file; empty: none
}

// Read reads the settings from args and, if -env names one, a JSON file, and checks them. Flags take precedence over the file,
// and the file over defaults. The error is flag.ErrHelp if help was requested, and Problems if settings are invalid.
func Read(prog string, items []Setting, args []string) (Values, Command, error) {
	var command Command
	flags := flag.NewFlagSet(prog, flag.ContinueOnError)
	flags.StringVar(&command.File, "env", "", "settings file (JSON); flags win over it")
	flags.BoolVar(&command.Check, "check", false, "check the settings and exit")
	flags.BoolVar(&command.Version, "version", false, "print the version and exit")
	for _, setting := range items {
		flags.String(setting.Name, setting.Default, setting.Help)
	}
	if err := flags.Parse(args); err != nil {
		return nil, command, err
	}
	if command.Version {
		return Values{}, command, nil
	}
	if flags.NArg() > 0 {
		return nil, command, Problems{fmt.Sprintf("argument %q: nothing expected after the flags", flags.Arg(0))}
	}
	values := Values{}
	for _, setting := range items {
		values[setting.Name] = flags.Lookup(setting.Name).Value.String()
	}
	var problems Problems
	if command.File != "" {
		var err error
		if problems, err = mergeFile(values, items, command.File, flags); err != nil {
			return nil, command, err
		}
	}
	problems = append(problems, Check(items, values)...)
	if len(problems) > 0 {
		return nil, command, problems
	}
	return values, command, nil
}

// mergeFile sets the values of a settings file that are not set by a flag. It returns the problems with the file, or an error if
// the file cannot be read.
func mergeFile(values Values, items []Setting, path string, flags *flag.FlagSet) (Problems, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	setByFlag := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { setByFlag[f.Name] = true })
	fromFile, problems := parse(items, raw)
	for name, value := range fromFile {
		if !setByFlag[name] {
			values[name] = value
		}
	}
	return problems, nil
}

// parse parses a settings file: a JSON object whose values are strings, or lists of strings for settings of kind List.
func parse(items []Setting, raw []byte) (Values, Problems) {
	if !gjson.ValidBytes(raw) {
		return nil, Problems{"settings file: valid JSON expected"}
	}
	document := gjson.ParseBytes(raw)
	if !document.IsObject() {
		return nil, Problems{"settings file: a JSON object expected"}
	}
	known := map[string]Setting{}
	for _, setting := range items {
		known[setting.Name] = setting
	}
	values, problems := Values{}, Problems{}
	document.ForEach(func(key, value gjson.Result) bool {
		setting, ok := known[key.String()]
		if !ok {
			problems = append(problems, fmt.Sprintf("setting %q: unknown", key.String()))
			return true
		}
		text, problem := setting.parse(value)
		if problem != "" {
			problems = append(problems, problem)
			return true
		}
		values[setting.Name] = text
		return true
	})
	return values, problems
}

// parse returns the setting's value in the form that flags use, or the problem with it.
func (s Setting) parse(value gjson.Result) (text, problem string) {
	want := "a string"
	if s.Kind == List {
		if value.IsArray() {
			var elements []string
			for _, element := range value.Array() {
				elements = append(elements, element.String())
			}
			return strings.Join(elements, ","), ""
		}
		want = "a string or a list of strings"
	}
	if value.Type != gjson.String {
		return "", fmt.Sprintf("setting %q: value %s: %s expected", s.Name, value.Raw, want)
	}
	return value.String(), ""
}
