package clientapi

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// logOnly contains the codes that need no documentation for clients: those that occur only in logs and metrics, and
// CodeInternal.
var logOnly = map[Code]bool{CodeClientLeft: true, CodeResumed: true, CodeReplayed: true, CodeTakenOver: true, CodeInternal: true}

// Operators and clients look codes up on two pages. Each code that a client can receive must be on one of them.
func TestPageListsEachCode(t *testing.T) {
	var pages []byte
	for _, name := range []string{"operators/day-two.md", "streams.md"} {
		page, err := os.ReadFile("../../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, page...)
	}
	codes := declaredCodes(t)
	if len(codes) < 40 {
		t.Fatalf("got %d codes in codes.go, want at least 40: the parser missed most of the table", len(codes))
	}
	for _, code := range codes {
		if !logOnly[code] && !strings.Contains(string(pages), "`"+string(code)+"`") {
			t.Errorf("neither docs/operators/day-two.md nor docs/streams.md lists the code %s", code)
		}
	}
}

// declaredCodes returns the string literals in codes.go without its import paths.
func declaredCodes(t *testing.T) []Code {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []Code
	ast.Inspect(parsed, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(text, "/") { // not an import path
			codes = append(codes, Code(text))
		}
		return true
	})
	return codes
}
