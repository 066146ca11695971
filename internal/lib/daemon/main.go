package daemon

import (
	"io"
	"runtime/debug"

	"yarrowridge/internal/lib/settings"
)

// Main starts a program, runs it and returns its exit code. An error of run is printed. checks judge settings against each
// other.
func Main(prog string, items []settings.Setting, args []string, out io.Writer, run func(*Process) error, checks ...func(settings.Values) settings.Problems) int {
	process, code := Start(prog, items, args, out, checks...)
	if code != Running {
		return code
	}
	defer process.Close()
	if err := run(process); err != nil {
		printLine(out, "%s: %s", prog, err)
		return ExitError
	}
	return ExitOK
}

// SetMemoryLimit tells the garbage collector of a process's memory limit in bytes; 0: there is none. Go's own memory may take
// six tenths of it.
func SetMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes * 6 / 10)
	}
}
