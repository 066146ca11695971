package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// onCallPage lists each warning and error that the programs log, with the action to take.
const onCallPage = "docs/operators/on-call.md"

// The on-call page lists exactly the warnings and errors that the programs log: none is missing, and none is obsolete.
func TestOnCallPageListsLogLines(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, onCallPage))
	if err != nil {
		t.Fatal(err)
	}
	logged := loggedTexts(t)
	if len(logged) < 25 {
		t.Fatalf("got %d log lines in the sources, want at least 25: the walk did not reach all of the code", len(logged))
	}
	for text, file := range logged {
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("%s does not list %q, logged by %s", onCallPage, text, file)
		}
	}
	for _, listed := range listedTexts(string(page)) {
		if logged[listed] == "" {
			t.Errorf("%s lists %q, which is not logged as a warning or an error", onCallPage, listed)
		}
	}
}

// loggedTexts maps each text that the programs log as a warning or an error to a file that logs it.
func loggedTexts(t *testing.T) map[string]string {
	t.Helper()
	logged := map[string]string{}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testing" || entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if text := loggedText(node); text != "" {
				logged[text] = path
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return logged
}

// loggedText returns the text of a call that logs a warning or an error, or "" for other nodes.
func loggedText(node ast.Node) string {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Warn" && selector.Sel.Name != "Error" {
		return ""
	}
	return literal(call.Args[0])
}

// listedTexts returns the texts in backquotes in the first column of the table below "## Log lines".
func listedTexts(page string) []string {
	var texts []string
	_, table, _ := strings.Cut(page, "## Log lines")
	for row := range strings.Lines(table) {
		cells := strings.Split(row, "|")
		if len(cells) < 4 || !strings.Contains(cells[1], "`") {
			continue
		}
		for i, text := range strings.Split(cells[1], "`") {
			if i%2 == 1 {
				texts = append(texts, text)
			}
		}
	}
	return texts
}
