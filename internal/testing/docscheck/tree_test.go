package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// moduleRoot is the root of the repository, relative to this package.
const moduleRoot = "../../.."

// tree contains the names in the repository that a page may refer to.
type tree struct {
	paths       map[string]bool // files and folders, relative to the root
	topFolders  map[string]bool // folders at the root
	folderNames map[string]bool // base names of all folders
	tests       map[string]bool // names of functions TestXxx, BenchmarkXxx and FuzzXxx
	metrics     map[string]bool
	flags       map[string]bool // flags of the programs
	testFlags   map[string]bool // flags of the tests
}

// flagDefinition matches the name of a method or function of package flag that defines a flag.
var flagDefinition = regexp.MustCompile(`^(Bool|Int|Int64|Uint|Uint64|String|Float64|Duration|Text)?(Var|Func)?$`)

// testFunction matches the name of a function that go test runs.
var testFunction = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z]`)

// readTree walks the repository and collects the names that a page may refer to.
func readTree(t *testing.T) *tree {
	t.Helper()
	found := &tree{paths: map[string]bool{}, topFolders: map[string]bool{}, folderNames: map[string]bool{}, tests: map[string]bool{}, metrics: map[string]bool{},
		flags: map[string]bool{}, testFlags: map[string]bool{}}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (name == ".git" || name == "bin" || name == "data" || name == "target") {
			return filepath.SkipDir // files of git, builds and runs
		}
		name = filepath.ToSlash(name)
		found.paths[name] = true
		if entry.IsDir() {
			found.folderNames[entry.Name()] = true
			found.topFolders[name] = found.topFolders[name] || !strings.Contains(name, "/")
			return nil
		}
		if strings.HasSuffix(name, ".go") {
			return found.readSource(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// readSource adds the tests, metrics and flags that a source file defines.
func (found *tree) readSource(path string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	isTest := strings.HasSuffix(path, "_test.go")
	isProduct := !strings.Contains(path, "/testing/") // the drill and the model check read metrics, but do not define any
	flags := found.flags
	if isTest {
		flags = found.testFlags
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			if isTest && testFunction.MatchString(node.Name.Name) {
				found.tests[node.Name.Name] = true
			}
		case *ast.BasicLit:
			if text, err := strconv.Unquote(node.Value); err == nil && isProduct && !isTest && node.Kind == token.STRING && metricName.FindString(text) == text {
				found.metrics[text] = true
			}
		case *ast.CallExpr:
			if name := definedFlag(node); name != "" {
				flags[name] = true
			}
		case *ast.CompositeLit:
			if name := settingName(node); name != "" {
				flags[name] = true
			}
		}
		return true
	})
	return nil
}

// definedFlag returns the name of the flag that a call defines, or "".
func definedFlag(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !flagDefinition.MatchString(method.Sel.Name) {
		return ""
	}
	for _, argument := range call.Args[:min(2, len(call.Args))] { // the name is the first argument, or the second after the variable
		if name := literal(argument); name != "" {
			return name
		}
	}
	return ""
}

// settingName returns the name of the setting that a composite literal with the fields Name and Kind defines, or "". Each
// setting of a daemon is also a flag.
func settingName(element *ast.CompositeLit) string {
	isSetting, name := false, ""
	for _, field := range element.Elts {
		if pair, ok := field.(*ast.KeyValueExpr); ok {
			key, _ := pair.Key.(*ast.Ident)
			switch {
			case key == nil:
			case key.Name == "Name":
				name = literal(pair.Value)
			case key.Name == "Kind":
				isSetting = true
			}
		}
	}
	if !isSetting {
		return ""
	}
	return name
}

// literal returns the value of a string literal, or "" for other expressions.
func literal(expression ast.Expr) string {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return ""
	}
	text, _ := strconv.Unquote(basic.Value)
	return text
}

// hasPath reports whether a path that a page names exists: relative to the root, relative to the folder of the page, or as
// the end of a longer path, such as core/history.go.
func (found *tree) hasPath(page, path string) bool {
	if found.paths[path] || found.paths[filepath.ToSlash(filepath.Join(filepath.Dir(page), path))] {
		return true
	}
	for known := range found.paths {
		if strings.HasSuffix(known, "/"+path) {
			return true
		}
	}
	return false
}
