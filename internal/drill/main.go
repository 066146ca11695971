package drill

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"yarrowridge/internal/env"
)

const usage = `drill rehearses a yarrowridge fleet on this machine. Usage:

  drill fleet  [flags]   start a whole fleet with stand-in runners, until interrupted
  drill load   [flags]   start a fleet and play the mix's origins against it
  drill hall   [flags]   the same, and take a hall out and bring it back meanwhile
  drill day    [flags]   start a fleet and play a day: traffic, operators, a course of faults drawn from
                         the seed or given by -course, and a closing fault
  drill scale  [flags]   measure what the control plane costs with many hollow routers and runners
  drill layout [flags]   print the mix's example layout

`

// Main runs the drill and returns its exit code: 0 all promises held, 1 one was broken or the
// fleet did not come up, 2 the command line does not hold.
//
//	os.Exit(drill.Main(os.Args[1:], os.Stdout))
func Main(args []string, out io.Writer) int { return rehearse(args, out, nil) }

// rehearse is Main with something added to the daemons' environment.
func rehearse(args []string, out io.Writer, more []string) int {
	if len(args) == 0 {
		fmt.Fprint(out, usage)
		return env.ExitUsage
	}
	logx.Disable() // httpc logs every call
	if args[0] == "scale" {
		return measureScale(args[1:], out)
	}
	fs := flag.NewFlagSet("drill "+args[0], flag.ContinueOnError)
	fs.SetOutput(out)
	name := fs.String("mix", "trentvale", "deployment to play: trentvale or tokachi")
	bin := fs.String("bin", "bin", "folder of the programs router and core")
	dir := fs.String("dir", "", "folder for data and logs; none: a new one, removed after a good end")
	scale := fs.Float64("scale", 1, "traffic, as a multiple of the deployment's own")
	span := fs.Duration("for", 10*time.Second, "how long to play")
	seed := fs.Uint64("seed", 1, "seed of the traffic, and of a day's course")
	plan := fs.String("course", "", "a day's events, comma-separated, in place of those drawn; the last may be closing-hall, closing-all or closing-routers")
	many := fs.Int("events", 8, "how many events a day has")
	slack := fs.Duration("slack", 3*time.Second, "what a slow machine is given beyond a promise's time")
	if err := fs.Parse(args[1:]); err != nil {
		return env.ExitUsage
	}
	mix, err := MixOf(*name)
	if err != nil || *scale <= 0 || *span <= 0 || fs.NArg() > 0 {
		fmt.Fprintf(out, "drill: -mix %s -scale %g -for %s: a known mix, a scale and a time above zero, and nothing after the flags are expected\n", *name, *scale, *span)
		return env.ExitUsage
	}
	if args[0] == "layout" {
		out.Write(mix.Raw())
		return env.ExitOk
	}
	names := drawCourse(mix, *seed, *many)
	if *plan != "" {
		names = strings.Split(*plan, ",")
	}
	for _, n := range names {
		if c, ok := strings.CutPrefix(n, "closing-"); findEvent(events, n) == nil && !(ok && findEvent(closings, c) != nil) {
			fmt.Fprintf(out, "drill: -course: %q is no event; expected are:\n", n)
			for _, e := range events {
				fmt.Fprintf(out, "  %-9s %s\n", e.name, e.what)
			}
			for _, e := range closings {
				fmt.Fprintf(out, "  closing-%s: %s\n", e.name, e.what)
			}
			return env.ExitUsage
		}
	}
	if args[0] != "fleet" && args[0] != "load" && args[0] != "hall" && args[0] != "day" {
		fmt.Fprintf(out, "drill: %q is not a command\n\n%s", args[0], usage)
		return env.ExitUsage
	}
	fresh := *dir == ""
	if fresh {
		*dir, err = os.MkdirTemp("", "yarrowridge-drill-")
	} else {
		err = os.MkdirAll(*dir, 0o700)
	}
	if err != nil {
		fmt.Fprintf(out, "drill: -dir: %s\n", err)
		return env.ExitError
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	if args[0] == "day" {
		// A quota that the traffic reaches.
		for _, n := range tenantNames(mix) {
			if q, ok := mix.Config["tenants"].(object)[n].(object)["quota"].(object); ok {
				q["units"], q["window_s"] = 12, 5
			}
		}
		for _, s := range mix.Config["services"].(object) {
			s.(object)["second_spare"] = mix.Routers
		}
	}
	f, err := NewFleet(mix, *bin, *dir)
	if err == nil {
		f.more = more
	}
	if err == nil && args[0] == "day" {
		f.SetLost(2 * time.Second)
		err = f.Link()
	}
	if err == nil {
		defer f.Stop()
		up, stop := context.WithTimeout(ctx, 60*time.Second)
		err = f.Start(up)
		stop()
	}
	if err != nil {
		fmt.Fprintf(out, "drill: %s; logs are under %s\n", err, *dir)
		return env.ExitError
	}
	tidy := func() int {
		if fresh {
			f.Stop()
			os.RemoveAll(*dir)
		}
		return env.ExitOk
	}
	if args[0] == "fleet" {
		f.Describe(out)
		<-ctx.Done()
		return tidy()
	}
	fmt.Fprintf(out, "fleet is up: %d cores, %d routers, %d runners; seed %d\n", len(f.Cores), len(f.Routers), len(f.Models)+len(f.Apps), *seed)
	load := NewLoad(f, *scale, *seed)
	if args[0] == "day" {
		fmt.Fprintf(out, "course %s\n", strings.Join(names, ","))
		ev, err := NewDay(f, load, *seed, out).Run(ctx, names, *slack)
		Total(ev.Outcomes).Print(out)
		fmt.Fprintf(out, "seen: %d queries at runners, %d writes, %d looks at layouts\n", len(ev.Seen), len(ev.ConfigWrites), len(ev.ConfigReadings))
		return verdict(out, Check(ev), err, *seed, strings.Join(names, ","), *dir, tidy)
	}
	run, stop := context.WithTimeout(ctx, *span)
	defer stop()
	done := make(chan struct{})
	go func() {
		load.Run(run)
		close(done)
	}()
	if args[0] == "hall" {
		f.loseZone(run, *span, out, load)
	}
	<-done
	outcomes := load.All()
	Total(outcomes).Print(out)
	return verdict(out, Check(Evidence{Mix: mix, Outcomes: outcomes, Seen: f.RequestLog.All()}), nil, *seed, "", *dir, tidy)
}

// verdict prints what became of the promises: each that was broken once, by its first breach.
func verdict(out io.Writer, bad []Breach, err error, seed uint64, course, dir string, tidy func() int) int {
	if len(bad) == 0 && err == nil {
		fmt.Fprintf(out, "all promises held (seed %d)\n", seed)
		return tidy()
	}
	fmt.Fprintf(out, "BROKEN with seed %d", seed)
	if course != "" {
		fmt.Fprintf(out, " and course %s", course)
	}
	fmt.Fprintf(out, ": %d breaches\n", len(bad))
	said := map[string]bool{}
	for _, b := range bad {
		if !said[b.Promise] {
			fmt.Fprintf(out, "  %s: %s\n", b.Promise, b.What)
		}
		said[b.Promise] = true
	}
	if err != nil {
		fmt.Fprintf(out, "  the day was cut short: %s\n", err)
	}
	fmt.Fprintf(out, "logs are under %s\n", dir)
	return env.ExitError
}

// loseZone kills every process of one zone, runners too, and starts them again later.
func (f *Fleet) loseZone(ctx context.Context, span time.Duration, out io.Writer, load *Load) {
	if !env.Wait(ctx, span/4) {
		return
	}
	lost := f.Mix.Zones[0]
	if p := f.Primary(ctx); p != nil {
		lost = p.Zone // the hardest zone to lose
	}
	at := time.Now()
	fmt.Fprintf(out, "hall %s is lost\n", lost)
	procs, runs := f.In(lost)
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	for _, s := range runs {
		s.Crash()
	}
	env.Wait(ctx, span/3)
	for _, k := range f.Mix.Kinds {
		fmt.Fprintf(out, "  %s: longest time without a whole answer %s\n", k.Name, Gap(load.All(), k.Name, at, time.Now()).Round(time.Millisecond))
	}
	for _, p := range procs {
		p.Wait(10 * time.Second)
		if err := p.Start(); err != nil {
			fmt.Fprintf(out, "drill: %s\n", err)
		}
	}
	for _, s := range runs {
		if err := s.Start(); err != nil {
			fmt.Fprintf(out, "drill: %s\n", err)
		}
	}
	fmt.Fprintf(out, "hall %s is back\n", lost)
}
