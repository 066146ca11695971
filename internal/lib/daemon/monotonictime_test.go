package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Decisions of the daemons depend on monotonic time only, so that a jump of the wall clock does not affect them. Only the log
// reads the wall clock. Differences of times and timers are monotonic in Go unless code strips the monotonic reading or makes
// times from numbers, so the test searches the source for calls that do.
func TestOnlyMonotonicTime(t *testing.T) {
	wallClock := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|\.Round\(0\)|\.Truncate\(0\)|\btime\.(Date|Parse|ParseInLocation|Unix|UnixMilli)\(|\.(UTC|Local)\(\)|\.MarshalBinary\(\)`)
	files, lines := 0, 0
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "drill" || entry.Name() == "sim") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "_gen.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		files++
		for i, line := range strings.Split(string(source), "\n") {
			lines++
			if wallClock.MatchString(line) && !strings.HasSuffix(path, filepath.Join("logging", "log.go")) {
				t.Errorf("%s:%d: got a use of the wall clock, want none: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return err
	})
	if err != nil || files < 40 {
		t.Fatalf("got %d files with %d lines, error %v, want at least 40 files and no error", files, lines, err)
	}
}
