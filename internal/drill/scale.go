package drill

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/env"
	"yarrowridge/internal/scale"
	"yarrowridge/internal/wire"
)

// scaleStartWait is how long the cores of a scale run may take to come up.
const scaleStartWait = 30 * time.Second

// scaleFlags are the flags of the command scale.
type scaleFlags struct {
	bin, dir, plot   string
	routers, runners []int
	settings         scale.Settings
}

// readScaleFlags reads the command line of the command scale.
func readScaleFlags(args []string, out io.Writer) (scaleFlags, error) {
	var f scaleFlags
	fs := flag.NewFlagSet("drill scale", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&f.bin, "bin", "bin", "folder of the program core")
	fs.StringVar(&f.dir, "dir", "", "folder that keeps the cores' data and logs, a new one in it for each run; none: they are removed")
	fs.StringVar(&f.plot, "plot", "", "file to which curves over the number of routers are drawn (.png, .svg or .pdf); none: no plot")
	routers := fs.String("routers", "30,100,300", "numbers of hollow routers, one run each")
	runners := fs.String("runners", "50,200,600", "numbers of hollow runners, one for each run")
	fs.DurationVar(&f.settings.Phase, "for", 10*time.Second, "length of each of a run's six phases; routers ask for whole lists each 10 s")
	fs.DurationVar(&f.settings.Heartbeat, "heartbeat", time.Second, "time between two heartbeats of a runner")
	fs.IntVar(&f.settings.Zones, "zones", 11, "zones over which cores, routers and runners are spread")
	fs.IntVar(&f.settings.Tenants, "tenants", 640, "tenants in the configuration")
	fs.IntVar(&f.settings.Models, "models", 33, "models in the configuration")
	fs.IntVar(&f.settings.Draws, "draws", 100, "quota moves a second over all routers, in the phase draws")
	fs.IntVar(&f.settings.DrawTenants, "draw-tenants", 4, "tenants whose units are moved; every router holds units of each")
	if err := fs.Parse(args); err != nil {
		return f, err
	}
	var err error
	if f.routers, err = readCounts(*routers); err != nil {
		return f, eris.Wrap(err, "-routers")
	}
	if f.runners, err = readCounts(*runners); err != nil {
		return f, eris.Wrap(err, "-runners")
	}
	if len(f.routers) != len(f.runners) {
		return f, eris.New("-routers and -runners: as many numbers in the one as in the other are expected")
	}
	s := f.settings
	least := min(int(s.Phase), int(s.Heartbeat), s.Zones, s.Tenants, s.Models, s.Draws, s.DrawTenants)
	if least <= 0 || s.DrawTenants > s.Tenants || fs.NArg() > 0 {
		return f, eris.New("numbers above zero, no more -draw-tenants than -tenants, and nothing after the flags are expected")
	}
	return f, nil
}

// readCounts reads a list of numbers above zero.
func readCounts(list string) ([]int, error) {
	var counts []int
	for _, field := range strings.Split(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n <= 0 {
			return nil, eris.Errorf("%q: a number above zero is expected", field)
		}
		counts = append(counts, n)
	}
	return counts, nil
}

// measureScale runs the command scale and returns its exit code.
func measureScale(args []string, out io.Writer) int {
	flags, err := readScaleFlags(args, out)
	if err != nil {
		fmt.Fprintf(out, "drill scale: %s\n", err)
		return env.ExitUsage
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	var results []*scale.Result
	for i := range flags.routers {
		settings := flags.settings
		settings.Routers, settings.Runners = flags.routers[i], flags.runners[i]
		result, err := measureOne(ctx, flags.bin, flags.dir, settings, out)
		if result != nil {
			results = append(results, result)
		}
		if err != nil {
			scale.Print(out, results) // what was measured before counts
			fmt.Fprintf(out, "drill scale: %s\n", err)
			return env.ExitError
		}
	}
	scale.Print(out, results)
	if flags.plot != "" {
		if err := scale.Plot(flags.plot, results); err != nil {
			fmt.Fprintf(out, "drill scale: %s\n", err)
			return env.ExitError
		}
	}
	return env.ExitOk
}

// measureOne starts five cores, measures one size and ends them again.
func measureOne(ctx context.Context, bin, keep string, settings scale.Settings, out io.Writer) (*scale.Result, error) {
	dir, err := os.MkdirTemp(keep, "yarrowridge-scale-")
	if err != nil {
		return nil, err
	}
	if keep == "" {
		defer os.RemoveAll(dir)
	}
	mix := Mix{Name: "scale", Routers: 1}
	for i := range settings.Zones {
		mix.Zones = append(mix.Zones, fmt.Sprintf("zone%02d", i+1))
	}
	fleet, err := NewFleet(mix, bin, dir)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	if err := fleet.startCores(ctx); err != nil {
		return nil, err
	}
	var cores []scale.CoreProcess
	for _, p := range fleet.Cores {
		cores = append(cores, scale.CoreProcess{Name: p.Name, Address: p.Addr, PID: p.PID, Kill: p.Kill,
			Traffic: func(ctx context.Context) (map[string]wire.Traffic, error) { return fleet.traffic(ctx, p) }})
	}
	return scale.Run(ctx, settings, cores, out)
}

// startCores starts the cores alone and waits until one leads.
func (f *Fleet) startCores(ctx context.Context) error {
	for _, l := range f.ports {
		l.Close()
	}
	f.ports = nil
	for _, p := range f.Cores {
		p.more = f.more
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, end := context.WithTimeout(ctx, scaleStartWait)
	defer end()
	return f.Until(ctx, "a core leads", func() bool { return f.Primary(ctx) != nil })
}

// traffic reads a core's counters of messages.
func (f *Fleet) traffic(ctx context.Context, p *Proc) (map[string]wire.Traffic, error) {
	code, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/traffic", nil, nil)
	if err != nil {
		return nil, err
	}
	if code != 200 {
		return nil, eris.Errorf("drill: %s answered %d to a look at its traffic", p.Name, code)
	}
	var kinds map[string]wire.Traffic
	return kinds, json.Unmarshal(raw, &kinds)
}
