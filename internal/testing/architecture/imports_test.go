// Package architecture checks the layout of the code: which group of packages may import which.
package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const (
	moduleRoot     = "../../.."
	internalPrefix = "yarrowridge/internal/"
)

// allowedGroups names, for each group of packages below internal/, the groups that it may import from besides itself.
// Imports go one way: from the planes to the transport, the model and the libraries.
var allowedGroups = map[string][]string{
	"lib":          {"transport"}, // daemon and metrics know the network they are given
	"model":        {"lib"},
	"transport":    {"lib", "model", "controlplane"},
	"controlplane": {"lib", "model", "transport"},
	"dataplane":    {"lib", "model", "transport", "controlplane"},
	"testing":      {"lib", "model", "transport", "controlplane", "dataplane"},
}

// publicControlPlane are the only packages of the control plane that other groups, tests aside, may import: its
// messages, its client and the value that says who is primary.
var publicControlPlane = map[string]bool{"coreapi": true, "coreclient": true, "view": true}

// platformPackage is the adapter to the users' platform, which nothing below internal/ may import.
const platformPackage = "yarrowridge/platform"

func TestImportsGoOneWay(t *testing.T) {
	files := 0
	err := filepath.WalkDir(filepath.Join(moduleRoot, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		checkImports(t, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 200 {
		t.Fatalf("got %d source files, want at least 200: the walk has missed the code", files)
	}
}

// checkImports reports each import of a source file that the rules forbid.
func checkImports(t *testing.T, path string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	inside, err := filepath.Rel(filepath.Join(moduleRoot, "internal"), path)
	if err != nil {
		t.Fatal(err)
	}
	group := strings.Split(filepath.ToSlash(inside), "/")[0]
	for _, spec := range parsed.Imports {
		imported := strings.Trim(spec.Path.Value, `"`)
		if reason := forbidden(group, imported); reason != "" {
			t.Errorf("%s imports %s: %s", inside, imported, reason)
		}
	}
}

// forbidden says why a package of a group may not import another package, or "".
func forbidden(group, imported string) string {
	if strings.HasPrefix(imported, platformPackage) {
		return "no other folder knows the names of the users' platform"
	}
	if !strings.HasPrefix(imported, internalPrefix) {
		return ""
	}
	parts := strings.Split(strings.TrimPrefix(imported, internalPrefix), "/")
	target := parts[0]
	if target == group {
		return ""
	}
	isAllowed := false
	for _, allowed := range allowedGroups[group] {
		isAllowed = isAllowed || allowed == target
	}
	switch {
	case !isAllowed:
		return "group " + group + " may not import group " + target
	case target == "controlplane" && group != "testing" && !publicControlPlane[parts[1]]:
		return "of the control plane only its messages, client and view are public"
	}
	return ""
}

func TestForbidden(t *testing.T) {
	for _, c := range []struct {
		name, group, imported string
		want                  bool
	}{
		{"data plane calls the client", "dataplane", internalPrefix + "controlplane/coreclient", false},
		{"data plane reaches into the core", "dataplane", internalPrefix + "controlplane/core", true},
		{"control plane imports the data plane", "controlplane", internalPrefix + "dataplane/balance", true},
		{"library imports a plane", "lib", internalPrefix + "dataplane/balance", true},
		{"product imports a test package", "dataplane", internalPrefix + "testing/sim", true},
		{"anybody imports the platform's adapter", "dataplane", "yarrowridge/platform", true},
		{"standard library", "lib", "net/http", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := forbidden(c.group, c.imported) != ""; got != c.want {
				t.Errorf("got forbidden %t, want %t", got, c.want)
			}
		})
	}
}
