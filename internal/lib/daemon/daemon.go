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
	"os/signal"
	"sync/atomic"
	"syscall"

	"yarrowridge/internal/lib/logging"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/settings"
	"yarrowridge/internal/transport/wire"
)

// Exit codes of the programs.
const (
	ExitOK    = 0
	ExitError = 1 // it ran, and ended with an error
	ExitUsage = 2 // the command line or the settings do not hold
)

// Version of the programs.
const Version = "0.1.0"

// Process is a running program: its settings, and what the signals ask for.
type Process struct {
	Ctx      Context
	Settings settings.Values // as at the start
	Stop     <-chan struct{} // closed upon SIGTERM or SIGINT: drain, then end
	now      atomic.Pointer[settings.Values]
	logLevel *slog.LevelVar
	cancel   context.CancelFunc
}

// Setting reads a setting that may be reloaded.
func (process *Process) Setting(name string) string { return (*process.now.Load())[name] }

// reload reads the settings anew. Where they do not hold, all stays as it was.
func (process *Process) reload(prog string, items []settings.Setting, args []string) {
	set, _, err := settings.Read(prog, items, args)
	if err != nil {
		process.Ctx.Log.Error("Reloaded settings do not hold. The old ones stay.", "error", err.Error())
		return
	}
	for _, setting := range items {
		if was := process.Setting(setting.Name); was != set[setting.Name] && !setting.Reloadable {
			process.Ctx.Log.Warn("Setting changes only with a restart.", "setting", setting.Name)
			set[setting.Name] = was
		}
	}
	process.now.Store(&set)
	process.logLevel.Set(logLevelOf(set["log"]))
	process.Ctx.Log.Info("Settings reloaded.")
}

// Close ends the context of all parts.
func (process *Process) Close() { process.cancel() }

// Start reads settings and sets up log and signals. Where code is not -1 the program ends with it.
// more are checks of settings against each other.
func Start(prog string, items []settings.Setting, args []string, out io.Writer, more ...func(settings.Values) settings.Problems) (*Process, int) {
	set, command, err := settings.Read(prog, items, args)
	for _, check := range more {
		if err == nil && !command.Version {
			if problems := check(set); len(problems) > 0 {
				err = problems
			}
		}
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil, ExitOK
	case err != nil:
		fmt.Fprintf(out, "%s: %s\n", prog, err)
		return nil, ExitUsage
	case command.Version:
		fmt.Fprintf(out, "%s %s, wire format %d\n", prog, Version, wire.FormatVersion)
		return nil, ExitOK
	case command.Check:
		fmt.Fprintf(out, "%s: settings hold\n", prog)
		return nil, ExitOK
	}
	process, hangup := begin(set, out)
	go runloop.Run(process.Ctx, hangup, 0, func(os.Signal) { process.reload(prog, items, args) }, nil)
	return process, -1
}

// Begin sets up log and signals of a program whose settings come from elsewhere. The settings used are
// "name", "hall", "log" and "from". reload is called for each SIGHUP.
func Begin(set settings.Values, out io.Writer, reload func()) *Process {
	process, hangup := begin(set, out)
	go runloop.Run(process.Ctx, hangup, 0, func(os.Signal) { reload() }, nil)
	return process
}

// begin makes the process and tells the channel of its SIGHUPs.
func begin(set settings.Values, out io.Writer) (*Process, <-chan os.Signal) {
	level := &slog.LevelVar{}
	level.Set(logLevelOf(set["log"]))
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		<-signals
		close(stop)
	}()
	process := &Process{Settings: set, logLevel: level, Stop: stop, cancel: cancel,
		Ctx: Context{Context: ctx, Name: set["name"], Zone: set["hall"], RunID: rand.Uint64(),
			Log: logging.New(out, level), Net: wire.TCP{LocalIP: set["from"]}}}
	process.now.Store(&set)
	return process, hangups
}

func logLevelOf(name string) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}[name]
}
