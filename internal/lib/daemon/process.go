// Package daemon is what each of the programs starts with: its settings and their reload, its log, its signals, its exit
// codes, and a context that says which run of which process this is.
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

// Version of the programs.
const Version = "0.1.0"

// Process is a running program: its settings, and what the signals ask for. Its fields do not change after the start, and its
// methods may be called concurrently.
type Process struct {
	Ctx      Context
	Settings settings.Values // as at the start
	Stop     <-chan struct{} // closed upon SIGTERM or SIGINT: drain, then end

	current  atomic.Pointer[settings.Values] // as of the last reload; the values are never changed in place
	logLevel *slog.LevelVar
	cancel   context.CancelFunc
}

// Setting returns the current value of a setting that may be reloaded.
func (p *Process) Setting(name string) string { return (*p.current.Load())[name] }

// Close ends the context of all components.
func (p *Process) Close() { p.cancel() }

// Start reads the settings and sets up log and signals; upon SIGHUP the settings are read again. The code is Running, or
// else the one that the program is to exit with, and then there is no process. checks judge settings against each other.
// out takes the log, and what -version, -check and invalid settings print.
func Start(prog string, items []settings.Setting, args []string, out io.Writer, checks ...func(settings.Values) settings.Problems) (process *Process, code int) {
	values, command, err := settings.Read(prog, items, args)
	if err == nil && !command.Version {
		err = checkTogether(values, checks)
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

// checkTogether returns the problems that the first failing check finds, as an error.
func checkTogether(values settings.Values, checks []func(settings.Values) settings.Problems) error {
	for _, check := range checks {
		if problems := check(values); len(problems) > 0 {
			return problems
		}
	}
	return nil
}

// printLine prints a line for whoever started the program. If that fails, the exit code is all that is left to tell.
func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// StartConfigured sets up log and signals of a program whose settings come from elsewhere. Of values it uses "name", "hall",
// "log" and "from". onHangup is called for each SIGHUP, one at a time, until the process is closed.
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
