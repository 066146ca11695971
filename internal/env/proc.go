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
	ExitOk      = 0
	ExitTrouble = 1 // it ran, and ended in trouble
	ExitSet     = 2 // the command line or the settings do not hold
)

// Version of the programs.
const Version = "0.1.0"

// Proc is a running program: its settings, and what the signals ask for.
type Proc struct {
	Ctx    Ctx
	Set    Set             // as at the start
	Stop   <-chan struct{} // closed upon SIGTERM or SIGINT: drain, then end
	now    atomic.Pointer[Set]
	low    *slog.LevelVar
	cancel context.CancelFunc
}

// Now reads a setting that may be reloaded.
//
//	hash := p.Now("operator-key-hash")
func (p *Proc) Now(name string) string { return (*p.now.Load())[name] }

// reload reads the settings anew. Where they do not hold, all stays as it was.
func (p *Proc) reload(prog string, items []Item, args []string) {
	set, _, err := Read(prog, items, args)
	if err != nil {
		p.Ctx.Log.Error("Reloaded settings do not hold. The old ones stay.", "trouble", err.Error())
		return
	}
	for _, it := range items {
		if was := p.Now(it.Name); was != set[it.Name] && !it.Live {
			p.Ctx.Log.Warn("Setting changes only with a restart.", "setting", it.Name)
			set[it.Name] = was
		}
	}
	p.now.Store(&set)
	p.low.Set(level(set["log"]))
	p.Ctx.Log.Info("Settings reloaded.")
}

// End ends the context of all parts.
//
//	defer p.End()
func (p *Proc) End() { p.cancel() }

// Start reads settings and sets up log and signals. Where code is not -1 the program ends with it.
// more are checks of settings against each other.
//
//	p, code := env.Start("core", items, args, os.Stderr)
func Start(prog string, items []Item, args []string, out io.Writer, more ...func(Set) Trouble) (*Proc, int) {
	set, ask, err := Read(prog, items, args)
	for _, check := range more {
		if err == nil && !ask.Version {
			if bad := check(set); len(bad) > 0 {
				err = bad
			}
		}
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil, ExitOk
	case err != nil:
		fmt.Fprintf(out, "%s: %s\n", prog, err)
		return nil, ExitSet
	case ask.Version:
		fmt.Fprintf(out, "%s %s, wire format %d\n", prog, Version, wire.Fmt)
		return nil, ExitOk
	case ask.Check:
		fmt.Fprintf(out, "%s: settings hold\n", prog)
		return nil, ExitOk
	}
	p, hangup := begin(set, out)
	go Loop(p.Ctx, hangup, 0, func(os.Signal) { p.reload(prog, items, args) }, nil)
	return p, -1
}

// Begin sets up log and signals of a program whose settings come from elsewhere. The settings used are
// "name", "hall", "log" and "from". reload is called for each SIGHUP.
//
//	p := env.Begin(env.Set{"name": "n1", "hall": "north", "log": "info"}, os.Stderr, reload)
func Begin(set Set, out io.Writer, reload func()) *Proc {
	p, hangup := begin(set, out)
	go Loop(p.Ctx, hangup, 0, func(os.Signal) { reload() }, nil)
	return p
}

// begin makes the process and tells the channel of its SIGHUPs.
func begin(set Set, out io.Writer) (*Proc, <-chan os.Signal) {
	low := &slog.LevelVar{}
	low.Set(level(set["log"]))
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		<-sig
		close(stop)
	}()
	p := &Proc{Set: set, low: low, Stop: stop, cancel: cancel,
		Ctx: Ctx{Context: ctx, Name: set["name"], Hall: set["hall"], Born: rand.Uint64(),
			Log: NewLog(out, low), Net: wire.TCP{From: set["from"]}}}
	p.now.Store(&set)
	return p, hup
}

func level(name string) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}[name]
}
