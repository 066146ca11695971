package settings

import (
	"errors"
	"flag"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var testItems = []Setting{
	{Name: "name", Kind: Text, Required: true},
	{Name: "seeds", Kind: List},
	{Name: "log", Kind: Level, Default: "info"},
	{Name: "drain", Kind: Duration, Default: "5s"},
}

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRead(t *testing.T) {
	tests := []struct {
		name string
		file string // empty: none
		args []string
		want Values
	}{
		{"defaults", "", []string{"-name", "a"}, Values{"name": "a", "seeds": "", "log": "info", "drain": "5s"}},
		{"file over defaults", `{"name": "a", "log": "warn"}`, nil, Values{"name": "a", "seeds": "", "log": "warn", "drain": "5s"}},
		{"flags over file", `{"name": "a", "log": "warn"}`, []string{"-log", "debug"}, Values{"name": "a", "seeds": "", "log": "debug", "drain": "5s"}},
		{"flag with its default over file", `{"name": "a", "log": "warn"}`, []string{"-log=info"}, Values{"name": "a", "seeds": "", "log": "info", "drain": "5s"}},
		{"list as JSON list", `{"name": "a", "seeds": ["10.0.0.1:1", "10.0.0.2:1"]}`, nil, Values{"name": "a", "seeds": "10.0.0.1:1,10.0.0.2:1", "log": "info", "drain": "5s"}},
		{"list as string", `{"name": "a", "seeds": "10.0.0.1:1,10.0.0.2:1"}`, nil, Values{"name": "a", "seeds": "10.0.0.1:1,10.0.0.2:1", "log": "info", "drain": "5s"}},
		{"empty list", `{"name": "a", "seeds": []}`, nil, Values{"name": "a", "seeds": "", "log": "info", "drain": "5s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			args := test.args
			if test.file != "" {
				args = append([]string{"-env", writeFile(t, test.file)}, args...)
			}
			got, command, err := Read("prog", testItems, args)
			if err != nil || !maps.Equal(got, test.want) {
				t.Errorf("Read: got %v, %v, want %v", got, err, test.want)
			}
			if command.Check || command.Version || (command.File != "") != (test.file != "") {
				t.Errorf("command: got %+v, want only File, if a file is given", command)
			}
		})
	}
}

func TestReadProblems(t *testing.T) {
	tests := []struct {
		name string
		file string // empty: none
		args []string
		want Problems
	}{
		{"required setting not set", "", nil, Problems{`setting "name": value "": a value expected`}},
		{"argument after the flags", "", []string{"-name", "a", "b", "c"}, Problems{`argument "b": nothing expected after the flags`}},
		{"invalid JSON", `{"name": `, []string{"-name", "a"}, Problems{"settings file: valid JSON expected"}},
		{"not an object", `["name"]`, []string{"-name", "a"}, Problems{"settings file: a JSON object expected"}},
		{"unknown setting", `{"nmae": "a"}`, []string{"-name", "a"}, Problems{`setting "nmae": unknown`}},
		{"number", `{"drain": 5}`, []string{"-name", "a"}, Problems{`setting "drain": value 5: a string expected`}},
		{"list for a word", `{"name": ["a"]}`, []string{"-name", "a"}, Problems{`setting "name": value ["a"]: a string expected`}},
		{"object for a list", `{"seeds": {}}`, []string{"-name", "a"}, Problems{`setting "seeds": value {}: a string or a list of strings expected`}},
		{"file and values", `{"x": "", "log": "loud"}`, nil, Problems{`setting "x": unknown`, `setting "log": value "loud": debug, info, warn or error expected`, `setting "name": value "": a value expected`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			args := test.args
			if test.file != "" {
				args = append([]string{"-env", writeFile(t, test.file)}, args...)
			}
			values, _, err := Read("prog", testItems, args)
			var got Problems
			if !errors.As(err, &got) || !slices.Equal(got, test.want) || values != nil {
				t.Errorf("Read: got %v, %q, want no values, %q", values, err, test.want)
			}
		})
	}
}

func TestReadCommand(t *testing.T) {
	if values, command, err := Read("prog", testItems, []string{"-version"}); err != nil || !command.Version || len(values) != 0 {
		t.Errorf("-version: got %v, %+v, %v, want no values, Version, nil", values, command, err)
	}
	if _, command, err := Read("prog", testItems, []string{"-check", "-name", "a"}); err != nil || !command.Check {
		t.Errorf("-check: got %+v, %v, want Check, nil", command, err)
	}
	if _, _, err := Read("prog", testItems, []string{"-env", filepath.Join(t.TempDir(), "missing"), "-name", "a"}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got %v, want %v", err, fs.ErrNotExist)
	}
	if _, _, err := Read("prog", testItems, []string{"-h"}); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("-h: got %v, want %v", err, flag.ErrHelp)
	}
	if _, _, err := Read("prog", testItems, []string{"-unknown"}); err == nil {
		t.Error("-unknown: got no error, want one")
	}
}

func TestValues(t *testing.T) {
	values := Values{"seeds": "10.0.0.1:1,10.0.0.2:1", "drain": "1500ms", "addr": "10.0.0.1:1", "listen": "", "empty": ""}
	if got, want := values.Addrs("seeds"), []string{"10.0.0.1:1", "10.0.0.2:1"}; !slices.Equal(got, want) {
		t.Errorf("Addrs: got %q, want %q", got, want)
	}
	if got := values.Addrs("empty"); got != nil {
		t.Errorf("Addrs of a setting that is not set: got %q, want nil", got)
	}
	if got, want := values.Duration("drain"), 1500*time.Millisecond; got != want {
		t.Errorf("Duration: got %s, want %s", got, want)
	}
	if got := values.Duration("empty"); got != 0 {
		t.Errorf("Duration of a setting that is not set: got %s, want 0", got)
	}
	if got, want := values.ValueOr("listen", "addr"), "10.0.0.1:1"; got != want {
		t.Errorf("ValueOr of a setting that is not set: got %q, want %q", got, want)
	}
	if got, want := values.ValueOr("drain", "addr"), "1500ms"; got != want {
		t.Errorf("ValueOr of a setting that is set: got %q, want %q", got, want)
	}
}
