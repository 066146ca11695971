package daemon

import (
	"io"
	"runtime/debug"

	"yarrowridge/internal/lib/settings"
)

// Main starts a program, runs it and returns its exit code. It prints the error of run, if any. checks validate combinations of
// settings.
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

// SetMemoryLimit derives the soft memory limit of the Go runtime from the memory limit of the process in bytes; 0: no limit. The
// runtime may use six tenths of the limit.
func SetMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes * 6 / 10)
	}
}
