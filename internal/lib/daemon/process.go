// Package daemon provides what all programs have in common: reading and reloading settings, the log, signals, exit codes, and a
// context that identifies the process and its run.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync/atomic"

	"yarrowridge/internal/lib/logging"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/settings"
	"yarrowridge/internal/transport/wire"
)

// Version is the version of the programs.
const Version = "0.1.0"

// Process is a running program with its settings and signals. Its exported fields do not change after the start, and its
// methods are safe for concurrent use.
type Process struct {
	Ctx      Context
	Settings settings.Values // as of the start
	Stop     <-chan struct{} // closed on SIGTERM or SIGINT: the program drains, then exits

	current  atomic.Pointer[settings.Values] // as of the last reload; the map is never modified
	logLevel *slog.LevelVar
	cancel   context.CancelFunc
}

// Setting returns the current value of a setting, which a reload may have changed.
func (p *Process) Setting(name string) string { return (*p.current.Load())[name] }

// Close cancels the context of all components.
func (p *Process) Close() { p.cancel() }

// Start reads the settings and sets up the log and signals. On SIGHUP the settings are read again. code is Running or, if the
// process is nil, the code with which the program has to exit. checks validate combinations of settings. The log, the output of
// -version and -check, and problems with the settings are written to out.
func Start(prog string, items []settings.Setting, args []string, out io.Writer, checks ...func(settings.Values) settings.Problems) (process *Process, code int) {
	values, command, err := settings.Read(prog, items, args)
	if err == nil && !command.Version {
		err = checkCombinations(values, checks)
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil, ExitOK
	case err != nil:
		printLine(out, "%s: %s", prog, err)
		return nil, ExitUsage
	case command.Version:
		printLine(out, "%s %s, wire format %d", prog, Version, wire.FormatVersion)
		return nil, ExitOK
	case command.Check:
		printLine(out, "%s: settings hold", prog)
		return nil, ExitOK
	}
	return StartConfigured(values, out, func(process *Process) { process.reload(prog, items, args) }), Running
}

// checkCombinations returns the problems of the first failing check as an error.
func checkCombinations(values settings.Values, checks []func(settings.Values) settings.Problems) error {
	for _, check := range checks {
		if problems := check(values); len(problems) > 0 {
			return problems
		}
	}
	return nil
}

// printLine prints a line for the user. An error is ignored, because the exit code reports the outcome as well.
func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// StartConfigured sets up the log and signals of a program that does not read its settings with package settings. It uses the
// values "name", "hall", "log" and "from". onHangup is called for each SIGHUP, one call at a time, until the process is closed.
func StartConfigured(values settings.Values, out io.Writer, onHangup func(*Process)) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	level := &slog.LevelVar{}
	level.Set(parseLogLevel(values["log"]))
	process := &Process{Settings: values, Stop: stopOnSignal(), logLevel: level, cancel: cancel,
		Ctx: Context{Context: ctx, Name: values["name"], Zone: values["hall"], RunID: rand.Uint64(),
			Log: logging.New(out, level), Net: wire.TCP{LocalIP: values["from"]}}}
	process.current.Store(&values)
	go runloop.Run(process.Ctx, hangups(), 0, func(os.Signal) { onHangup(process) }, nil)
	return process
}
