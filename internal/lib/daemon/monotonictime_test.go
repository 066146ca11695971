package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Only monotonic time decides anything in the daemons, so that a clock that jumps while they run changes nothing: no time is
// taken from the wall clock but for the log's lines. Go's own differences and timers are monotonic as long as nobody strips
// that reading or makes times out of numbers.
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
				t.Errorf("%s:%d: got a time from the wall clock, want none: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return err
	})
	if err != nil || files < 40 {
		t.Fatalf("got %d files, %d lines read, %v, want at least 40 files", files, lines, err)
	}
}
