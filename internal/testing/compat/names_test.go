package compat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pureToolFolders hold no code of the daemons.
var pureToolFolders = []string{"internal/testing/drill", "internal/testing/sim", "internal/testing/modelcheck", ".git"}

// literalPatterns are the sections for literals that are told by their form alone, wherever they stand. Message kinds and
// most codes are in "dashed or dotted".
var literalPatterns = map[string]*regexp.Regexp{
	"dashed or dotted": regexp.MustCompile(`^[a-z]+([.-][a-z0-9]+)+$`),
	"snake case":       regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`),
	"camel case":       regexp.MustCompile(`^[a-z][a-zA-Z0-9.]*[A-Z][a-zA-Z0-9.]*$`),
	"header":           regexp.MustCompile(`^[A-Z][A-Za-z0-9]*(-[A-Z][A-Za-z0-9]*)+$`),
}

// mayMove are the sections whose names are told by the code around them, which may change: a code may become a constant.
// Such a name has to stand somewhere as a literal.
var mayMove = []string{"code", "flag or setting"}

// notRead are calls whose literals nobody else reads: log lines, and the switches of mechanisms in tests.
var notRead = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true, "With": true, "WithComponent": true, "Disabled": true}

// Every name that others read, processes of another release, scripts and operators, is still there, and no new one has
// come unnoticed. Where a name stands does not matter.
func TestNamesStay(t *testing.T) {
	found := namesInSources(t, "../../..")
	text, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	expected := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		name := strings.TrimSuffix(line, "\n")
		expected[name] = true
		if !found.has(name) {
			t.Errorf("gone: %s", name)
		}
	}
	for name := range found.names {
		if section, _, _ := strings.Cut(name, ": "); !expected[name] && !slices.Contains(mayMove, section) {
			t.Errorf("new: %s", name)
		}
	}
}

// names are what the sources name, each as "section: name", and all their string literals.
type names struct {
	names    map[string]bool
	literals map[string]bool
}

// has reports whether a name is there; one of a section in mayMove, whether it stands anywhere as a literal.
func (n names) has(name string) bool {
	section, literal, _ := strings.Cut(name, ": ")
	return n.names[name] || slices.Contains(mayMove, section) && n.literals[literal]
}

// namesInSources reads all files below a folder but for tests and tools.
func namesInSources(t *testing.T, root string) names {
	t.Helper()
	found := names{map[string]bool{}, map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		inModule, _ := filepath.Rel(root, path)
		if entry.IsDir() && slices.Contains(pureToolFolders, inModule) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			ast.Inspect(file, found.visit)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// visit takes the names of a node, and reports whether its parts are to be visited.
func (n names) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.ImportSpec:
		return false
	case *ast.Field:
		n.addTags(node)
	case *ast.CallExpr:
		if selector, ok := node.Fun.(*ast.SelectorExpr); ok && notRead[selector.Sel.Name] {
			return false
		}
		n.addCall(node)
	case *ast.CompositeLit:
		n.addComposite(node)
	case *ast.BasicLit:
		n.addLiteral(node)
	}
	return true
}

// addTags takes the names in a field's tags.
func (n names) addTags(field *ast.Field) {
	if field.Tag == nil {
		return
	}
	tag, _ := strconv.Unquote(field.Tag.Value)
	for _, key := range []string{"msg", "json"} {
		if name, ok := reflect.StructTag(tag).Lookup(key); ok {
			n.names[key+" tag: "+name] = true
		}
	}
}

// addCall takes the names of flags, and of entries of a table of settings.
func (n names) addCall(call *ast.CallExpr) {
	var function string
	switch named := call.Fun.(type) {
	case *ast.SelectorExpr:
		function = named.Sel.Name
	case *ast.Ident:
		function = named.Name
	}
	definesFlag := regexp.MustCompile(`^(String|Bool|Int|Uint|Int64|Uint64|Float64|Duration)(Var)?$`).MatchString(function)
	if !definesFlag && !strings.HasSuffix(function, "Entry") {
		return
	}
	for _, argument := range call.Args[:min(2, len(call.Args))] {
		n.add("flag or setting", argument)
	}
}

// addComposite takes refusal codes and the names of settings.
func (n names) addComposite(composite *ast.CompositeLit) {
	for _, element := range composite.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		switch key, _ := pair.Key.(*ast.Ident); {
		case key == nil:
		case key.Name == "Code":
			n.add("code", pair.Value)
		case key.Name == "Name":
			n.add("flag or setting", pair.Value)
		}
	}
	if isFault(composite.Type) && len(composite.Elts) == 1 {
		n.add("code", composite.Elts[0])
	}
}

// isFault reports whether a type is the wire's Fault.
func isFault(kind ast.Expr) bool {
	switch kind := kind.(type) {
	case *ast.Ident:
		return kind.Name == "Fault"
	case *ast.SelectorExpr:
		return kind.Sel.Name == "Fault"
	}
	return false
}

// add takes a name if the expression is a literal that may be one.
func (n names) add(section string, expression ast.Expr) {
	if text, ok := literalText(expression); ok && text != "" && !strings.ContainsAny(text, " \n") {
		n.names[section+": "+text] = true
	}
}

// addLiteral takes a literal into the sections whose form it has.
func (n names) addLiteral(literal *ast.BasicLit) {
	text, ok := literalText(literal)
	if !ok {
		return
	}
	n.literals[text] = true
	for section, pattern := range literalPatterns {
		if pattern.MatchString(text) {
			n.names[section+": "+text] = true
		}
	}
}

// literalText gives the text of a string literal, if the expression is one.
func literalText(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
