// Package docscheck checks that each file, test, metric and flag that a page of the documentation names exists.
package docscheck

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	// codeSpan matches text in backquotes.
	codeSpan = regexp.MustCompile("`([^`]+)`")

	// filePath matches a word that may name a file or folder. The path of a URL begins with a slash and does not match.
	filePath = regexp.MustCompile(`^\.{0,2}[\w-][\w./-]*$`)

	// testName matches the name of a test anywhere in a line. With three dots or an ellipsis after it, it is a prefix of names.
	testName = regexp.MustCompile(`\b((?:Test|Benchmark|Fuzz)[A-Z]\w*)(\.\.\.|…)?`)

	// runPattern matches the flag -run with its value, which contains names of tests or prefixes of them.
	runPattern = regexp.MustCompile(`-run '?\S+`)

	// metricName matches the name of a metric anywhere in a line.
	metricName = regexp.MustCompile(`\byarrowridge_[a-z][a-z0-9_]*[a-z0-9]`)

	// flagWord matches a flag of a program, with or without its value.
	flagWord = regexp.MustCompile(`^--?([a-z][a-z0-9-]*)(=.*)?$`)
)

// fileSuffixes are the suffixes that mark a path as a file. A word without a folder is checked only if it ends in one of
// bareSuffixes: a bare .toml or .json name is the example of a settings file or a schedule.
var (
	fileSuffixes = []string{".go", ".md", ".toml", ".json"}
	bareSuffixes = []string{".go", ".md"}
)

// programs are the programs of this repository, whose flags are checked.
var programs = map[string]bool{"router": true, "core": true, "drill": true, "platform": true}

// goFlags are the flags of the go command and its tools that pages may use.
var goFlags = map[string]bool{"bench": true, "benchtime": true, "checks": true, "count": true, "ldflags": true, "modfile": true,
	"o": true, "parallel": true, "race": true, "run": true, "short": true, "tags": true, "timeout": true, "v": true}

// histogramSuffixes are the suffixes of the time series that Prometheus derives from a histogram.
var histogramSuffixes = []string{"_bucket", "_count", "_sum"}

// checker checks pages line by line and reports each name that does not exist.
type checker struct {
	tree   *tree
	page   string // path of the current page, relative to the root
	line   int    // number of the current line
	report func(finding string)
}

func TestPagesNameWhatExists(t *testing.T) {
	c := checker{tree: readTree(t)}
	pages := listPages(t)
	if len(pages) < 20 {
		t.Fatalf("got %d pages, want at least 20: the walk did not find them", len(pages))
	}
	c.report = func(finding string) { t.Errorf("%s:%d: %s", c.page, c.line, finding) }
	for _, page := range pages {
		raw, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		c.checkPage(page, string(raw))
	}
}

// The checker reports each kind of name that does not exist, and accepts names that do. Without this test, a checker that
// finds nothing would pass as well.
func TestCheckerReportsInventedNames(t *testing.T) {
	c := checker{tree: readTree(t)}
	reports := 0
	c.report = func(string) { reports++ }
	for _, line := range []string{
		"see `docs/made-up.md`", "in `core/madeup.go`", "in `madeup.go`", "under `internal/madeup`", "in `internal/madeup/...`",
		"held by `TestMadeUp`", "held by `TestMadeUp...`", "`go test ./internal/testing/sim -run TestMadeUp`", "in `deploy/madeup.toml`",
		"as TestMadeUp shows", "counted by `yarrowridge_made_up_total`", "with `-made-up`",
		"`bin/drill day -made-up 3`", "    bin/router -made-up x", "```\nbin/core -made-up x\n```",
		"`go test ./internal/testing/sim -made-up 3`", "`go test ./internal/madeup`", "`TestDays -made-up 3`",
	} {
		before := reports
		c.checkPage("README.md", line)
		if reports != before+1 {
			t.Errorf("%q: got %d reports, want 1", line, reports-before)
		}
	}
	before := reports
	c.checkPage("docs/promises.md", "`TestPagesNameWhatExists`, `docscheck/tree_test.go`, `README.md`, `../README.md`, `GET /ready`, `net/http`, "+
		"`yarrowridge_requests_total`, `-seed`, `curl -s http://ADDRESS/v1/checks`, `go test ./internal/testing/sim -run TestPagesName -seeds 3 -v`, `TestPagesName...`, `settings.toml`")
	if reports != before {
		t.Errorf("existing names: got %d reports, want none", reports-before)
	}
}

// listPages returns the paths of the pages, relative to the root.
func listPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md", "CONTRIBUTING.md"}
	err := filepath.WalkDir(filepath.Join(moduleRoot, "docs"), func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".md") {
			return err
		}
		name, err := filepath.Rel(moduleRoot, file)
		pages = append(pages, filepath.ToSlash(name))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

// checkPage checks a page line by line. Text in backquotes, in a fenced block or indented by four spaces is code.
func (c *checker) checkPage(page, text string) {
	c.page = page
	fenced, continued := false, false
	for i, line := range strings.Split(text, "\n") {
		c.line = i + 1
		c.checkNames(line)
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), "```"):
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			if !continued {
				c.checkCode(line)
			}
			continued = strings.HasSuffix(line, "\\")
		default:
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				c.checkCode(span[1])
			}
		}
	}
}

// checkNames checks the names of tests and metrics in a line.
func (c *checker) checkNames(line string) {
	patterns := strings.Join(runPattern.FindAllString(line, -1), " ")
	for _, match := range testName.FindAllStringSubmatch(line, -1) {
		name, isPrefix := match[1], match[2] != "" || strings.Contains(patterns, match[1])
		if !c.tree.hasTest(name, isPrefix) {
			c.report(fmt.Sprintf("no test %s", match[0]))
		}
	}
	for _, name := range metricName.FindAllString(line, -1) {
		if !c.tree.hasMetric(name) {
			c.report(fmt.Sprintf("no metric %s", name))
		}
	}
}

// checkCode checks the paths in a line or span of code, and the flags of the command that it begins with.
func (c *checker) checkCode(code string) {
	words := strings.Fields(code)
	for len(words) > 0 && strings.Contains(words[0], "=") {
		words = words[1:] // skip environment variables that are set for the command
	}
	if len(words) == 0 {
		return
	}
	for _, word := range words {
		c.checkPath(strings.Trim(word, `'",;:()`))
	}
	known := c.flagsOf(words[0])
	for _, word := range words {
		if flag := flagWord.FindStringSubmatch(word); known != nil && flag != nil && !known(flag[1]) {
			c.report(fmt.Sprintf("no flag -%s", flag[1]))
		}
	}
}

// flagsOf returns a function that reports whether a command has a flag, or nil if the flags of the command are not checked.
func (c *checker) flagsOf(command string) func(flag string) bool {
	switch {
	case programs[path.Base(command)]:
		return func(flag string) bool { return c.tree.flags[flag] }
	case command == "go":
		return func(flag string) bool { return c.tree.testFlags[flag] || goFlags[flag] }
	case testName.MatchString(command):
		return func(flag string) bool { return c.tree.testFlags[flag] }
	case strings.HasPrefix(command, "-"):
		return func(flag string) bool { return c.tree.flags[flag] || c.tree.testFlags[flag] || goFlags[flag] }
	}
	return nil
}

// checkPath checks that a word exists as a path, if it looks like a file or folder of the repository.
func (c *checker) checkPath(word string) {
	word = strings.TrimSuffix(strings.TrimSuffix(strings.TrimPrefix(word, "./"), "/..."), "/")
	if !filePath.MatchString(word) {
		return
	}
	top, _, nested := strings.Cut(word, "/")
	endsIn := func(suffix string) bool { return strings.HasSuffix(word, suffix) }
	isFile := slices.ContainsFunc(bareSuffixes, endsIn) || nested && c.tree.folderNames[top] && slices.ContainsFunc(fileSuffixes, endsIn)
	if (isFile || nested && c.tree.topFolders[top]) && !c.tree.hasPath(c.page, word) {
		c.report(fmt.Sprintf("no file %s", word))
	}
}

// hasTest reports whether a test with this name exists or, if isPrefix is set, one whose name begins with it.
func (found *tree) hasTest(name string, isPrefix bool) bool {
	if !isPrefix {
		return found.tests[name]
	}
	for known := range found.tests {
		if strings.HasPrefix(known, name) {
			return true
		}
	}
	return false
}

// hasMetric reports whether a name is that of a metric, or of a time series that Prometheus derives from a histogram.
func (found *tree) hasMetric(name string) bool {
	if found.metrics[name] {
		return true
	}
	for _, suffix := range histogramSuffixes {
		if base, ok := strings.CutSuffix(name, suffix); ok && found.metrics[base] {
			return true
		}
	}
	return false
}
