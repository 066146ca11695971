package control

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yarrowridge/internal/lib/daemon"
)

// All invalid settings are printed with name, value and what was expected. The program then exits with the code for usage
// errors.
func TestSettings(t *testing.T) {
	good := []string{"-name", "c1", "-hall", "east", "-addr", "127.0.0.1:7401", "-data", t.TempDir(), "-founders", "127.0.0.1:7401,127.0.0.1:7402,127.0.0.1:7403"}
	file := func(raw string) string {
		path := filepath.Join(t.TempDir(), "env.json")
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct {
		args []string
		code int
		want []string // parts of the output
	}{
		{append(good, "-check"), daemon.ExitOK, []string{"settings hold"}},
		{[]string{"-version"}, daemon.ExitOK, []string{daemon.Version}},
		{append(good, "-check", "-lost", "soon", "-log", "loud"), daemon.ExitUsage, []string{`"lost": value "soon"`, `"log": value "loud"`}},
		{append(good, "-check", "stray"), daemon.ExitUsage, []string{`"stray"`}},
		{append(good, "-check", "-nosuch", "1"), daemon.ExitUsage, []string{"nosuch"}},
		{append(good, "-check", "-founders", "127.0.0.1:7402,127.0.0.1:7402"), daemon.ExitUsage, []string{"odd number", "twice", "own addr"}},
		{append(good, "-check", "-founders", ""), daemon.ExitUsage, []string{`"seeds"`}},
		{append(good, "-check", "-operator-key-hash", "zz"), daemon.ExitUsage, []string{"64 hex digits"}},
		{append(good, "-check", "-env", file(`{"pox":"1","seeds":7,"hall":"west"}`)), daemon.ExitUsage, []string{`"pox": unknown`, `"seeds": value 7`}},
		{append(good, "-check", "-losses", "0", "-bootstrap", "yes", "-max-members", "many"), daemon.ExitUsage, []string{`"losses": value "0"`, `"bootstrap": value "yes"`, `"max-members": value "many"`}},
		{append(good, "-check", "-bootstrap", "true"), daemon.ExitUsage, []string{`"bootstrap"`, "no founders"}},
		{append(good, "-check", "-founders", "", "-bootstrap", "true"), daemon.ExitUsage, []string{`"seeds"`}},
		{append(good, "-check", "-founders", "", "-seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3", "-bootstrap", "true", "-losses", "2", "-max-members", "5"), daemon.ExitOK, []string{"settings hold"}},
		{append(good, "-check", "-env", file(`{`)), daemon.ExitUsage, []string{"valid JSON"}},
		{append(good, "-check", "-env", "/nowhere/env.json"), daemon.ExitUsage, []string{"/nowhere/env.json"}},
		{append(good, "-check", "-env", file(`{"seeds":["127.0.0.1:1","127.0.0.1:2"],"lost":"3s"}`)), daemon.ExitOK, []string{"settings hold"}},
	} {
		var out bytes.Buffer
		if code := Main(c.args, &out); code != c.code {
			t.Errorf("%v: got exit code %d, want %d: %s", c.args, code, c.code, out.String())
		}
		for _, s := range c.want {
			if !strings.Contains(out.String(), s) {
				t.Errorf("%v: got %q, want %q in it", c.args, out.String(), s)
			}
		}
	}
}
