package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Only monotonic time decides anything in the daemons, so that a clock which jumps while they run changes
// nothing: nowhere is a moment taken off the wall clock but for the log's lines. Go's own differences and
// timers are monotonic as long as nobody strips that reading off or makes moments out of numbers.
func TestOnlyMonotonicTime(t *testing.T) {
	wall := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|\.Round\(0\)|\.Truncate\(0\)|\btime\.(Date|Parse|ParseInLocation|Unix|UnixMilli)\(|\.(UTC|Local)\(\)|\.MarshalBinary\(\)`)
	files, lines := 0, 0
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && (e.Name() == "drill" || e.Name() == "sim") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "_gen.go") {
			return nil
		}
		raw, err := os.ReadFile(path)
		files++
		for i, line := range strings.Split(string(raw), "\n") {
			lines++
			if wall.MatchString(line) && !strings.HasSuffix(path, filepath.Join("logging", "log.go")) {
				t.Errorf("%s:%d takes a moment off the wall clock: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return err
	})
	if err != nil || files < 40 {
		t.Fatalf("%d files, %d lines read, %v", files, lines, err)
	}
}
