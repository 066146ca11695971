package drill

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// fleetStartLimit is how long a fleet may take to start.
const fleetStartLimit = 60 * time.Second

// dayCoreLostAfter is how long a core is unreachable before a spare may replace it on a day. It is shorter than
// elsewhere because a day takes little time.
const dayCoreLostAfter = 2 * time.Second

// rehearsal is one invocation of the drill: its command, its flags and the fleet that it starts.
type rehearsal struct {
	command  string
	out      io.Writer
	mix      Mix
	bin      string
	dir      string
	ownDir   bool // dir was created here, and is removed if all went well
	scale    float64
	duration time.Duration
	seed     uint64
	course   []string // names of the events of a day
	slack    time.Duration
	fleet    *Fleet
}

// readFlags reads the command line. If done is set, the invocation ends with the exit code returned.
func (r *rehearsal) readFlags(args []string) (code int, done bool) {
	fs := flag.NewFlagSet("drill "+r.command, flag.ContinueOnError)
	fs.SetOutput(r.out)
	name := fs.String("mix", "trentvale", "deployment to play: trentvale or tokachi")
	fs.StringVar(&r.bin, "bin", "bin", "folder of the programs router and core")
	fs.StringVar(&r.dir, "dir", "", "folder for data and logs; none: a new one, removed after a good end")
	fs.Float64Var(&r.scale, "scale", 1, "traffic, as a multiple of the deployment's own")
	fs.DurationVar(&r.duration, "for", 10*time.Second, "how long to play")
	fs.Uint64Var(&r.seed, "seed", 1, "seed of the traffic, and of a day's course")
	course := fs.String("course", "", "a day's events, comma-separated, in place of those drawn; the last may be closing-hall, closing-all or closing-routers")
	eventCount := fs.Int("events", 8, "how many events a day has")
	fs.DurationVar(&r.slack, "slack", 3*time.Second, "what a slow machine is given beyond a promise's time")
	if err := fs.Parse(args); err != nil {
		return daemon.ExitUsage, true
	}
	mix, err := FindMix(*name)
	if err != nil || r.scale <= 0 || r.duration <= 0 || fs.NArg() > 0 {
		printf(r.out, "drill: -mix %s -scale %g -for %s: a known mix, a scale and a time above zero, and nothing after the flags are expected\n", *name, r.scale, r.duration)
		return daemon.ExitUsage, true
	}
	r.mix = mix
	if r.command == commandConfig {
		printf(r.out, "%s", mix.ConfigJSON())
		return daemon.ExitOK, true
	}
	r.course = drawCourse(mix, r.seed, *eventCount)
	if *course != "" {
		r.course = strings.Split(*course, ",")
	}
	if !r.checkCourse() {
		return daemon.ExitUsage, true
	}
	if r.command != "fleet" && r.command != "load" && r.command != commandZone && r.command != "day" {
		printf(r.out, "drill: %q is not a command\n\n%s", r.command, usage)
		return daemon.ExitUsage, true
	}
	return 0, false
}

// checkCourse reports whether every event of the course exists. If one does not, it prints all events.
func (r *rehearsal) checkCourse() bool {
	for _, name := range r.course {
		closing, isClosing := strings.CutPrefix(name, closingPrefix)
		if findEvent(events, name) != nil || isClosing && findEvent(closings, closing) != nil {
			continue
		}
		printf(r.out, "drill: -course: %q is no event; expected are:\n", name)
		for _, e := range events {
			printf(r.out, "  %-9s %s\n", e.name, e.description)
		}
		for _, e := range closings {
			printf(r.out, "  %s%s: %s\n", closingPrefix, e.name, e.description)
		}
		return false
	}
	return true
}

// makeDir creates the folder for data and logs.
func (r *rehearsal) makeDir() (err error) {
	r.ownDir = r.dir == ""
	if !r.ownDir {
		return os.MkdirAll(r.dir, 0o700)
	}
	r.dir, err = os.MkdirTemp("", "yarrowridge-drill-")
	return err
}

// removeDir ends an invocation in which all went well and returns the exit code. If the folder was created here, it
// stops the fleet and removes the folder.
func (r *rehearsal) removeDir() int {
	if r.ownDir {
		r.fleet.Stop()
		_ = os.RemoveAll(r.dir) // on an error, files remain in the system's folder for temporary files
	}
	return daemon.ExitOK
}

// startFleet starts the fleet, with variables added to the daemons' environment. It sets r.fleet before the first process
// starts, so that the caller can stop the fleet after an error too.
func (r *rehearsal) startFleet(ctx context.Context, extraEnv []string) error {
	if r.command == "day" {
		r.prepareDayConfig()
	}
	fleet, err := NewFleet(r.mix, r.bin, r.dir)
	if err != nil {
		return err
	}
	fleet.extraEnv = extraEnv
	if r.command == "day" {
		fleet.SetCoreLostAfter(dayCoreLostAfter)
		if err := fleet.InsertLinks(); err != nil {
			return err
		}
	}
	r.fleet = fleet
	ctx, cancel := context.WithTimeout(ctx, fleetStartLimit)
	defer cancel()
	return fleet.Start(ctx)
}

// prepareDayConfig lowers the quotas so that the traffic reaches them, and allows each service as many extra second
// tries as there are routers.
func (r *rehearsal) prepareDayConfig() {
	for _, name := range tenantNames(r.mix) {
		if quota, ok := r.mix.Config["tenants"].(object)[name].(object)["quota"].(object); ok {
			quota["units"], quota["window_s"] = 12, 5
		}
	}
	for _, service := range r.mix.Config["services"].(object) {
		service.(object)["second_spare"] = r.mix.Routers
	}
}
