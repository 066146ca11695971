// Package control puts the parts of the core program together.
package control

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/settings"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/operator"
	"yarrowridge/internal/transport/wire"
)

// Items are the settings of a core.
var Items = []settings.Setting{
	{Name: "name", Kind: settings.Text, Required: true, Help: "name of this process"},
	{Name: "hall", Kind: settings.Text, Required: true, Help: "hall it stands in"},
	{Name: "addr", Kind: settings.Addr, Required: true, Help: "ip:port where other processes reach it"},
	{Name: "listen", Kind: settings.Addr, Help: "ip:port to bind for other processes, where that is not addr"},
	{Name: "from", Kind: settings.IP, Help: "ip number to dial other processes and runners from; none: the system's choice"},
	{Name: "operator", Kind: settings.Addr, Help: "ip:port of the operators' listener"},
	{Name: "operator-key-hash", Kind: settings.Hash, Reloadable: true, Help: "hex SHA-256 of the operators' key"},
	{Name: "seeds", Kind: settings.List, Help: "addresses of three other processes of the fleet"},
	{Name: "founders", Kind: settings.List, Help: "addresses of all cores that found the fleet, this one among them; an odd number"},
	{Name: "bootstrap", Kind: settings.Text, Default: "false", Help: "true: without founders, the seeds found the fleet; the same seeds on all cores then"},
	{Name: "losses", Kind: settings.Text, Default: "1", Help: "how many disks may be lost at once: so many backups hold each write; 1 to 4"},
	{Name: "max-members", Kind: settings.Text, Default: "9", Help: "the most cores that vote, 3 to 15; more wait until one is lost"},
	{Name: "data", Kind: settings.Dir, Required: true, Help: "data folder"},
	{Name: "lost", Kind: settings.Duration, Default: "10s", Help: "silence after which a lost member is replaced by a waiting core"},
	{Name: "log", Kind: settings.Level, Reloadable: true, Default: "info", Help: "debug, info, warn or error"},
}

// check holds the settings against one another.
func check(set settings.Values) settings.Problems {
	bad := founders(set)
	for _, n := range []struct {
		name        string
		least, most int
	}{{"losses", 1, 4}, {"max-members", 3, 15}} {
		if got, err := strconv.Atoi(set[n.name]); err != nil || got < n.least || got > n.most {
			bad = append(bad, fmt.Sprintf("setting %q: value %q: a number from %d to %d expected", n.name, set[n.name], n.least, n.most))
		}
	}
	if v := set["bootstrap"]; v != "true" && v != "false" {
		bad = append(bad, fmt.Sprintf("setting \"bootstrap\": value %q: true or false expected", v))
	} else if v == "true" && set["founders"] != "" {
		bad = append(bad, "setting \"bootstrap\": value \"true\": no founders expected beside it")
	}
	return bad
}

// number reads a setting that check has passed.
func number(set settings.Values, name string) int {
	n, _ := strconv.Atoi(set[name])
	return n
}

// founders checks that the list of founders can found anything.
func founders(set settings.Values) settings.Problems {
	all := set.Addrs("founders")
	if len(all) == 0 {
		if len(set.Addrs("seeds")) == 0 {
			return settings.Problems{`setting "seeds": value "": addresses of living processes expected, since no founders are set`}
		}
		return nil
	}
	var bad settings.Problems
	if n := len(all); n < 3 || n%2 == 0 {
		bad = append(bad, fmt.Sprintf("setting \"founders\": %d addresses: an odd number of at least three expected", n))
	}
	seen := map[string]bool{}
	for _, a := range all {
		if seen[a] {
			bad = append(bad, fmt.Sprintf("setting \"founders\": value %q: stands there twice", a))
		}
		seen[a] = true
	}
	if !seen[set["addr"]] {
		bad = append(bad, fmt.Sprintf("setting \"founders\": this core's own addr %q expected among them", set["addr"]))
	}
	return bad
}

// Main runs a core and returns its exit code.
func Main(args []string, out io.Writer) int {
	process, code := daemon.Start("core", Items, args, out, check)
	if code >= 0 {
		return code
	}
	defer process.Close()
	if err := run(process); err != nil {
		_, _ = fmt.Fprintf(out, "core: %s\n", err)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

func run(process *daemon.Process) error {
	disk, err := store.OpenFolder(process.Settings["data"])
	if err != nil {
		return err
	}
	lock, err := store.Lock(process.Settings["data"])
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	seeds := process.Settings.Addrs("seeds")
	server, err := core.Open(process.Ctx.WithComponent("core"), core.Settings{
		Addr: process.Settings["addr"], Founders: process.Settings.Addrs("founders"), Seeds: seeds, LostAfter: process.Settings.Duration("lost"),
		Bootstrap: process.Settings["bootstrap"] == "true", Losses: number(process.Settings, "losses"), MaxMembers: number(process.Settings, "max-members")}, disk)
	if err != nil {
		return err
	}
	listener, err := process.Ctx.Net.Listen(process.Settings.ValueOr("listen", "addr"))
	if err != nil {
		return err
	}
	go wire.Serve(process.Ctx, listener, server.Handle)
	caller := wire.NewCaller(process.Ctx.Net)
	defer caller.Close()
	if at := process.Settings["operator"]; at != "" {
		api := &operator.API{Ctx: process.Ctx.WithComponent("operator"), KeyHash: func() string { return process.Setting("operator-key-hash") },
			Core:  coreclient.NewClient(process.Ctx, caller, append([]string{process.Settings["addr"]}, seeds...)),
			Ready: server.UnavailableReason,
			Views: map[string]func() any{
				"/v1/standing": func() any { return server.State() },
				"/v1/traffic":  func() any { return wire.TrafficByKind() }}}
		handler, err := api.Handler()
		if err != nil {
			return err
		}
		operators, err := web.Listen(at, handler)
		if err != nil {
			return err
		}
		go func() { _ = operators.Run() }() // a listener that breaks leaves the core its work
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = operators.Drain(ctx) // who still waits after a second is not waited for
		}()
	}
	done := make(chan struct{})
	go func() {
		server.Run()
		close(done)
	}()
	process.Ctx.Log.Info("Core is up.", "addr", process.Settings["addr"], "hall", process.Ctx.Zone)
	<-process.Stop
	process.Ctx.Log.Info("Core stops.")
	server.StepDown()
	process.Close()
	<-done
	return nil
}
