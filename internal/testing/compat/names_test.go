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

// toolFolders are skipped: they contain no code of the daemons.
var toolFolders = []string{"internal/testing/drill", "internal/testing/sim", "internal/testing/modelcheck", ".git"}

// literalPatterns maps sections to the form of the literals that belong to them, wherever they occur in the sources. Message
// kinds and most codes are in "dashed or dotted".
var literalPatterns = map[string]*regexp.Regexp{
	"dashed or dotted": regexp.MustCompile(`^[a-z]+([.-][a-z0-9]+)+$`),
	"snake case":       regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`),
	"camel case":       regexp.MustCompile(`^[a-z][a-zA-Z0-9.]*[A-Z][a-zA-Z0-9.]*$`),
	"header":           regexp.MustCompile(`^[A-Z][A-Za-z0-9]*(-[A-Z][A-Za-z0-9]*)+$`),
}

// movableSections are the sections whose names are recognized by the code around them. That code may change, for example if
// a code becomes a constant, so it is enough that the sources contain such a name as a literal.
var movableSections = []string{"code", "flag or setting"}

// internalCalls are the functions and methods whose literals other processes, scripts and operators do not depend on: log
// calls, and the switches of fault injection.
var internalCalls = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true, "With": true, "WithComponent": true, "Disabled": true}

// The sources still contain every name that processes of other releases, scripts or operators read, and each new name has
// been added to testdata/names.txt. The place of a name in the sources does not matter.
func TestNamesStay(t *testing.T) {
	found := readNames(t, "../../..")
	text, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	expected := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		name := strings.TrimSuffix(line, "\n")
		expected[name] = true
		if !found.has(name) {
			t.Errorf("in testdata/names.txt, but no longer in the sources: %s", name)
		}
	}
	for name := range found.names {
		if section, _, _ := strings.Cut(name, ": "); !expected[name] && !slices.Contains(movableSections, section) {
			t.Errorf("in the sources, but not in testdata/names.txt: %s", name)
		}
	}
}

// nameSet contains the names found in the sources and all their string literals.
type nameSet struct {
	names    map[string]bool // each as "section: name"
	literals map[string]bool
}

// has reports whether the set contains a name. For a name of one of movableSections, a literal anywhere is enough.
func (n nameSet) has(name string) bool {
	section, literal, _ := strings.Cut(name, ": ")
	return n.names[name] || slices.Contains(movableSections, section) && n.literals[literal]
}

// readNames collects the names of all source files below a folder, except tests and tools.
func readNames(t *testing.T, root string) nameSet {
	t.Helper()
	found := nameSet{map[string]bool{}, map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		inModule, _ := filepath.Rel(root, path)
		if entry.IsDir() && slices.Contains(toolFolders, inModule) {
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

// visit adds the names of a node, and reports whether its children are to be visited.
func (n nameSet) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.ImportSpec:
		return false
	case *ast.Field:
		n.addTags(node)
	case *ast.CallExpr:
		if selector, ok := node.Fun.(*ast.SelectorExpr); ok && internalCalls[selector.Sel.Name] {
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

// addTags adds the names in a field's msg and json tags.
func (n nameSet) addTags(field *ast.Field) {
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

// addCall adds the names of flags, and of settings that a call of a function xxxEntry defines.
func (n nameSet) addCall(call *ast.CallExpr) {
	var function string
	switch callee := call.Fun.(type) {
	case *ast.SelectorExpr:
		function = callee.Sel.Name
	case *ast.Ident:
		function = callee.Name
	}
	definesFlag := regexp.MustCompile(`^(String|Bool|Int|Uint|Int64|Uint64|Float64|Duration)(Var)?$`).MatchString(function)
	if !definesFlag && !strings.HasSuffix(function, "Entry") {
		return
	}
	for _, argument := range call.Args[:min(2, len(call.Args))] {
		n.add("flag or setting", argument)
	}
}

// addComposite adds error codes and the names of settings.
func (n nameSet) addComposite(composite *ast.CompositeLit) {
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
	if isFaultType(composite.Type) && len(composite.Elts) == 1 {
		n.add("code", composite.Elts[0])
	}
}

// isFaultType reports whether a type expression names a type Fault, of any package.
func isFaultType(expression ast.Expr) bool {
	switch named := expression.(type) {
	case *ast.Ident:
		return named.Name == "Fault"
	case *ast.SelectorExpr:
		return named.Sel.Name == "Fault"
	}
	return false
}

// add adds the value of an expression to a section, if it is a non-empty string literal without spaces.
func (n nameSet) add(section string, expression ast.Expr) {
	if text, ok := literalText(expression); ok && text != "" && !strings.ContainsAny(text, " \n") {
		n.names[section+": "+text] = true
	}
}

// addLiteral adds a string literal to the literals, and to each section of literalPatterns that it matches.
func (n nameSet) addLiteral(literal *ast.BasicLit) {
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

// literalText returns the value of a string literal, and whether the expression is one.
func literalText(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
