package drill

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

const usage = `drill rehearses a yarrowridge fleet on this machine. Usage:

  drill fleet  [flags]   start a whole fleet with stand-in runners, until interrupted
  drill load   [flags]   start a fleet and play the mix's clients against it
  drill zone   [flags]   the same, and take a zone out and bring it back meanwhile ("hall" in older versions)
  drill day    [flags]   start a fleet and play a day: traffic, operators, a course of faults drawn from
                         the seed or given by -course, and a closing fault
  drill config [flags]   print the mix's example configuration ("layout" in older versions)

`

// Commands that had another name in older versions. The older names still work.
const (
	commandZone   = "zone"
	commandConfig = "config"
)

// commandAliases maps older names of commands to the current ones.
var commandAliases = map[string]string{"hall": commandZone, "layout": commandConfig}

// canonicalCommand returns the current name of a command given by its current or an older name.
func canonicalCommand(name string) string {
	if current, ok := commandAliases[name]; ok {
		return current
	}
	return name
}

// printf prints to the output of the drill. Errors are ignored, because the exit code is the result of the drill.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// Main runs the drill and returns its exit code: 0 if all promises held, 1 if one was broken or the fleet could not be
// started, 2 if the command line is invalid.
func Main(args []string, out io.Writer) int { return runWithEnv(args, out, nil) }

// runWithEnv is Main with variables added to the daemons' environment.
func runWithEnv(args []string, out io.Writer, extraEnv []string) int {
	if len(args) == 0 {
		printf(out, usage)
		return daemon.ExitUsage
	}
	logx.Disable() // else httpc logs every call
	r := &rehearsal{command: canonicalCommand(args[0]), out: out}
	if code, done := r.readFlags(args[1:]); done {
		return code
	}
	if err := r.makeDir(); err != nil {
		printf(out, "drill: -dir: %s\n", err)
		return daemon.ExitError
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := r.startFleet(ctx, extraEnv)
	if r.fleet != nil {
		defer r.fleet.Stop()
	}
	if err != nil {
		printf(out, "drill: %s; logs are under %s\n", err, r.dir)
		return daemon.ExitError
	}
	return r.runCommand(ctx)
}

// runCommand runs the command on the started fleet and returns the exit code.
func (r *rehearsal) runCommand(ctx context.Context) int {
	f, out := r.fleet, r.out
	if r.command == "fleet" {
		f.Describe(out)
		<-ctx.Done()
		return r.removeDir()
	}
	printf(out, "fleet is up: %d cores, %d routers, %d runners; seed %d\n", len(f.Cores), len(f.Routers), len(f.ModelRunners)+len(f.AppRunners), r.seed)
	load := NewLoad(f, r.scale, r.seed)
	if r.command == "day" {
		return r.runDay(ctx, load)
	}
	loadCtx, stop := context.WithTimeout(ctx, r.duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		load.Run(loadCtx)
		close(done)
	}()
	if r.command == commandZone {
		f.killZone(loadCtx, r.duration, out, load)
	}
	<-done
	outcomes := load.Outcomes()
	Summarize(outcomes).Print(out)
	return r.printResult(Check(Evidence{Mix: r.mix, Outcomes: outcomes, RunnerRequests: f.RequestLog.All()}), "", nil)
}

// runDay plays a day on the started fleet and returns the exit code.
func (r *rehearsal) runDay(ctx context.Context, load *Load) int {
	course := strings.Join(r.course, ",")
	printf(r.out, "course %s\n", course)
	evidence, err := NewDay(r.fleet, load, r.seed, r.out).Run(ctx, r.course, r.slack)
	Summarize(evidence.Outcomes).Print(r.out)
	printf(r.out, "seen: %d queries at runners, %d writes, %d looks at configurations\n", len(evidence.RunnerRequests), len(evidence.ConfigWrites), len(evidence.ConfigReadings))
	return r.printResult(Check(evidence), course, err)
}

// printResult prints the first breach of each broken promise, or that all promises held, and returns the exit code.
func (r *rehearsal) printResult(breaches []Breach, course string, err error) int {
	out := r.out
	if len(breaches) == 0 && err == nil {
		printf(out, "all promises held (seed %d)\n", r.seed)
		return r.removeDir()
	}
	printf(out, "BROKEN with seed %d", r.seed)
	if course != "" {
		printf(out, " and course %s", course)
	}
	printf(out, ": %d breaches\n", len(breaches))
	printed := map[string]bool{}
	for _, breach := range breaches {
		if !printed[breach.Promise] {
			printf(out, "  %s: %s\n", breach.Promise, breach.Detail)
		}
		printed[breach.Promise] = true
	}
	if err != nil {
		printf(out, "  the day was cut short: %s\n", err)
	}
	printf(out, "logs are under %s\n", r.dir)
	return daemon.ExitError
}

// killZone kills every process and runner of a zone, and restarts them after a third of the duration.
func (f *Fleet) killZone(ctx context.Context, duration time.Duration, out io.Writer, load *Load) {
	if !runloop.Sleep(ctx, duration/4) {
		return
	}
	zone := f.Mix.Zones[0]
	if p := f.Primary(ctx); p != nil {
		zone = p.Zone // the zone whose loss has the most effect
	}
	killedAt := time.Now()
	printf(out, "zone %s is lost\n", zone)
	procs, runners := f.InZone(zone)
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	for _, r := range runners {
		r.Crash()
	}
	runloop.Sleep(ctx, duration/3)
	for _, k := range f.Mix.Kinds {
		printf(out, "  %s: longest time without a whole answer %s\n", k.Name, LongestOutage(load.Outcomes(), k.Name, killedAt, time.Now()).Round(time.Millisecond))
	}
	for _, p := range procs {
		p.Wait(10 * time.Second)
		if err := p.Start(); err != nil {
			printf(out, "drill: %s\n", err)
		}
	}
	for _, r := range runners {
		if err := r.Start(); err != nil {
			printf(out, "drill: %s\n", err)
		}
	}
	printf(out, "zone %s is back\n", zone)
}
