package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestCheckKinds(t *testing.T) {
	directory := t.TempDir()
	file := filepath.Join(directory, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	hash := strings.Repeat("0f", 32)
	tests := []struct {
		name    string
		kind    Kind
		want    string // expected form in the text of a problem
		valid   []string
		invalid []string
	}{
		{"Text", Text, "a word without spaces or quotes", []string{"a", "a-b.c:1", "ä'"}, []string{"a b", "a\tb", "a\n", "\r", `"a"`}},
		{"Addr", Addr, "ip:port", []string{"10.0.0.1:7360", "[::1]:1"}, []string{"10.0.0.1", "localhost:80", ":80", "10.0.0.1:99999", "10.0.0.1:1,10.0.0.2:1"}},
		{"List", List, "ip:port in each place", []string{"10.0.0.1:1", "10.0.0.1:1,[::1]:2"}, []string{"a", " 10.0.0.1:1"}},
		{"Duration", Duration, "a duration above zero, such as 2s", []string{"2s", "1ms", "1h30m"}, []string{"0s", "-1s", "2", "s", "2 s"}},
		{"Dir", Dir, "a folder", []string{directory, filepath.Join(directory, "not-yet")}, []string{file}},
		{"Hash", Hash, "64 hex digits, a SHA-256,", []string{hash, strings.ToUpper(hash)}, []string{hash[2:], hash + "00", "0g" + hash[2:], hash[1:]}},
		{"Level", Level, "debug, info, warn or error", []string{"debug", "info", "warn", "error"}, []string{"INFO", "fatal", "trace"}},
		{"IP", IP, "an ip number", []string{"10.0.0.1", "::1"}, []string{"10.0.0.1:80", "localhost", "10.0.0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			items := []Setting{{Name: "s", Kind: test.kind}}
			for _, value := range test.valid {
				if got := Check(items, Values{"s": value}); got != nil {
					t.Errorf("Check of %q: got %q, want no problem", value, got)
				}
			}
			for _, value := range test.invalid {
				elements := 1
				if test.kind == List {
					elements = len(strings.Split(value, ","))
				}
				got := Check(items, Values{"s": value})
				if len(got) != elements || elements == 1 && got[0] != mismatch("s", value, test.want) {
					t.Errorf("Check of %q: got %q, want %q", value, got, mismatch("s", value, test.want))
				}
			}
		})
	}
}

// Check reports all problems, sorted: each invalid element of a list, and each required setting that is not set.
func TestCheckReportsAllProblems(t *testing.T) {
	items := []Setting{{Name: "z", Kind: Level}, {Name: "list", Kind: List}, {Name: "a", Kind: Text, Required: true}, {Name: "unset", Kind: Addr}}
	got := Check(items, Values{"z": "loud", "list": "10.0.0.1:1,x,,y"})
	want := Problems{
		`setting "a": value "": a value expected`,
		`setting "list": value "": ip:port in each place expected`,
		`setting "list": value "x": ip:port in each place expected`,
		`setting "list": value "y": ip:port in each place expected`,
		`setting "z": value "loud": debug, info, warn or error expected`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("Check:\ngot  %q\nwant %q", got, want)
	}
	if got, want := got[:2].Error(), want[0]+"\n"+want[1]; got != want {
		t.Errorf("Error: got %q, want %q", got, want)
	}
}
