package env

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

	"yarrowridge/internal/wire"
)

// Exit codes of the programs.
const (
	ExitOk    = 0
	ExitError = 1 // it ran, and ended with an error
	ExitUsage = 2 // the command line or the settings do not hold
)

// Version of the programs.
const Version = "0.1.0"

// Proc is a running program: its settings, and what the signals ask for.
type Proc struct {
	Ctx      Ctx
	Set      Settings        // as at the start
	Stop     <-chan struct{} // closed upon SIGTERM or SIGINT: drain, then end
	now      atomic.Pointer[Settings]
	logLevel *slog.LevelVar
	cancel   context.CancelFunc
}

// Now reads a setting that may be reloaded.
//
//	hash := p.Now("operator-key-hash")
func (process *Proc) Now(name string) string { return (*process.now.Load())[name] }

// reload reads the settings anew. Where they do not hold, all stays as it was.
func (process *Proc) reload(prog string, items []Setting, args []string) {
	set, _, err := Read(prog, items, args)
	if err != nil {
		process.Ctx.Log.Error("Reloaded settings do not hold. The old ones stay.", "error", err.Error())
		return
	}
	for _, setting := range items {
		if was := process.Now(setting.Name); was != set[setting.Name] && !setting.Reloadable {
			process.Ctx.Log.Warn("Setting changes only with a restart.", "setting", setting.Name)
			set[setting.Name] = was
		}
	}
	process.now.Store(&set)
	process.logLevel.Set(logLevelOf(set["log"]))
	process.Ctx.Log.Info("Settings reloaded.")
}

// End ends the context of all parts.
//
//	defer p.End()
func (process *Proc) End() { process.cancel() }

// Start reads settings and sets up log and signals. Where code is not -1 the program ends with it.
// more are checks of settings against each other.
//
//	p, code := env.Start("core", items, args, os.Stderr)
func Start(prog string, items []Setting, args []string, out io.Writer, more ...func(Settings) Problems) (*Proc, int) {
	set, command, err := Read(prog, items, args)
	for _, check := range more {
		if err == nil && !command.Version {
			if problems := check(set); len(problems) > 0 {
				err = problems
			}
		}
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil, ExitOk
	case err != nil:
		fmt.Fprintf(out, "%s: %s\n", prog, err)
		return nil, ExitUsage
	case command.Version:
		fmt.Fprintf(out, "%s %s, wire format %d\n", prog, Version, wire.Fmt)
		return nil, ExitOk
	case command.Check:
		fmt.Fprintf(out, "%s: settings hold\n", prog)
		return nil, ExitOk
	}
	process, hangup := begin(set, out)
	go Loop(process.Ctx, hangup, 0, func(os.Signal) { process.reload(prog, items, args) }, nil)
	return process, -1
}

// Begin sets up log and signals of a program whose settings come from elsewhere. The settings used are
// "name", "hall", "log" and "from". reload is called for each SIGHUP.
//
//	p := env.Begin(env.Settings{"name": "n1", "hall": "north", "log": "info"}, os.Stderr, reload)
func Begin(set Settings, out io.Writer, reload func()) *Proc {
	process, hangup := begin(set, out)
	go Loop(process.Ctx, hangup, 0, func(os.Signal) { reload() }, nil)
	return process
}

// begin makes the process and tells the channel of its SIGHUPs.
func begin(set Settings, out io.Writer) (*Proc, <-chan os.Signal) {
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
	process := &Proc{Set: set, logLevel: level, Stop: stop, cancel: cancel,
		Ctx: Ctx{Context: ctx, Name: set["name"], Zone: set["hall"], Born: rand.Uint64(),
			Log: NewLog(out, level), Net: wire.TCP{From: set["from"]}}}
	process.now.Store(&set)
	return process, hangups
}

func logLevelOf(name string) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}[name]
}
