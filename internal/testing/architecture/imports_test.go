// Package architecture checks which groups of packages may import which others.
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

// allowedGroups lists, for each group of packages below internal/, the other groups that it may import. The planes import
// the transport, the model and the libraries; of these, only the transport imports a plane, and only publicControlPlane.
var allowedGroups = map[string][]string{
	"lib":          {"transport"}, // for daemon and metrics, which use its network and its traffic counters
	"model":        {"lib"},
	"transport":    {"lib", "model", "controlplane"},
	"controlplane": {"lib", "model", "transport"},
	"dataplane":    {"lib", "model", "transport", "controlplane"},
	"testing":      {"lib", "model", "transport", "controlplane", "dataplane"},
}

// publicControlPlane contains the only packages of the control plane that other groups, except testing, may import: its
// messages, its client and the view, which names the primary.
var publicControlPlane = map[string]bool{"coreapi": true, "coreclient": true, "view": true}

// platformPackage is the adapter to the users' platform. No package below internal/ may import it.
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
		t.Fatalf("got %d source files, want at least 200: the walk did not reach all of the code", files)
	}
}

// checkImports reports each forbidden import of a source file.
func checkImports(t *testing.T, path string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	relative, err := filepath.Rel(filepath.Join(moduleRoot, "internal"), path)
	if err != nil {
		t.Fatal(err)
	}
	group := strings.Split(filepath.ToSlash(relative), "/")[0]
	for _, spec := range parsed.Imports {
		imported := strings.Trim(spec.Path.Value, `"`)
		if reason := forbiddenReason(group, imported); reason != "" {
			t.Errorf("%s imports %s: %s", relative, imported, reason)
		}
	}
}

// forbiddenReason returns why a package of a group may not import another package, or "" if it may.
func forbiddenReason(group, imported string) string {
	if strings.HasPrefix(imported, platformPackage) {
		return "packages below internal/ may not import the adapter to the users' platform"
	}
	if !strings.HasPrefix(imported, internalPrefix) {
		return ""
	}
	folders := strings.Split(strings.TrimPrefix(imported, internalPrefix), "/")
	target := folders[0]
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
	case target == "controlplane" && group != "testing" && !publicControlPlane[folders[1]]:
		return "only the messages, the client and the view of the control plane are public"
	}
	return ""
}

func TestForbidden(t *testing.T) {
	for _, c := range []struct {
		name, group, imported string
		want                  bool
	}{
		{"data plane imports the client of the control plane", "dataplane", internalPrefix + "controlplane/coreclient", false},
		{"data plane imports the core", "dataplane", internalPrefix + "controlplane/core", true},
		{"control plane imports the data plane", "controlplane", internalPrefix + "dataplane/balance", true},
		{"library imports a plane", "lib", internalPrefix + "dataplane/balance", true},
		{"data plane imports a test package", "dataplane", internalPrefix + "testing/sim", true},
		{"data plane imports the platform adapter", "dataplane", "yarrowridge/platform", true},
		{"standard library", "lib", "net/http", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := forbiddenReason(c.group, c.imported) != ""; got != c.want {
				t.Errorf("got forbidden %t, want %t", got, c.want)
			}
		})
	}
}
