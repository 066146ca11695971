// Package control puts the parts of the core program together.
package control

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/operator"
	"yarrowridge/internal/store"
	"yarrowridge/internal/web"
	"yarrowridge/internal/wire"
)

// Items are the settings of a core.
var Items = []env.Setting{
	{Name: "name", Kind: env.Text, Required: true, Help: "name of this process"},
	{Name: "hall", Kind: env.Text, Required: true, Help: "hall it stands in"},
	{Name: "addr", Kind: env.Addr, Required: true, Help: "ip:port where other processes reach it"},
	{Name: "listen", Kind: env.Addr, Help: "ip:port to bind for other processes, where that is not addr"},
	{Name: "from", Kind: env.IP, Help: "ip number to dial other processes and runners from; none: the system's choice"},
	{Name: "operator", Kind: env.Addr, Help: "ip:port of the operators' listener"},
	{Name: "operator-key-hash", Kind: env.Hash, Reloadable: true, Help: "hex SHA-256 of the operators' key"},
	{Name: "seeds", Kind: env.List, Help: "addresses of three other processes of the fleet"},
	{Name: "founders", Kind: env.List, Help: "addresses of all cores that found the fleet, this one among them; an odd number"},
	{Name: "bootstrap", Kind: env.Text, Default: "false", Help: "true: without founders, the seeds found the fleet; the same seeds on all cores then"},
	{Name: "losses", Kind: env.Text, Default: "1", Help: "how many disks may be lost at once: so many backups hold each write; 1 to 4"},
	{Name: "max-members", Kind: env.Text, Default: "9", Help: "the most cores that vote, 3 to 15; more wait until one is lost"},
	{Name: "data", Kind: env.Dir, Required: true, Help: "data folder"},
	{Name: "lost", Kind: env.Span, Default: "10s", Help: "silence after which a lost member is replaced by a waiting core"},
	{Name: "log", Kind: env.Level, Reloadable: true, Default: "info", Help: "debug, info, warn or error"},
}

// check holds the settings against one another.
func check(set env.Settings) env.Problems {
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
func number(set env.Settings, name string) int {
	n, _ := strconv.Atoi(set[name])
	return n
}

// founders checks that the list of founders can found anything.
func founders(set env.Settings) env.Problems {
	all := set.Addrs("founders")
	if len(all) == 0 {
		if len(set.Addrs("seeds")) == 0 {
			return env.Problems{`setting "seeds": value "": addresses of living processes expected, since no founders are set`}
		}
		return nil
	}
	var bad env.Problems
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
//
//	os.Exit(control.Main(os.Args[1:], os.Stderr))
func Main(args []string, out io.Writer) int {
	process, code := env.Start("core", Items, args, out, check)
	if code >= 0 {
		return code
	}
	defer process.End()
	if err := run(process); err != nil {
		fmt.Fprintf(out, "core: %s\n", err)
		return env.ExitError
	}
	return env.ExitOk
}

func run(process *env.Proc) error {
	disk, err := store.OpenFolder(process.Set["data"])
	if err != nil {
		return err
	}
	lock, err := store.Lock(process.Set["data"])
	if err != nil {
		return err
	}
	defer lock.Close()
	seeds := process.Set.Addrs("seeds")
	server, err := core.Open(process.Ctx.Part("core"), core.Settings{
		Addr: process.Set["addr"], Founders: process.Set.Addrs("founders"), Seeds: seeds, LostAfter: process.Set.Span("lost"),
		Bootstrap: process.Set["bootstrap"] == "true", Losses: number(process.Set, "losses"), MaxMembers: number(process.Set, "max-members")}, disk)
	if err != nil {
		return err
	}
	listener, err := process.Ctx.Net.Listen(process.Set.Or("listen", "addr"))
	if err != nil {
		return err
	}
	go wire.Serve(process.Ctx, listener, server.Handle)
	caller := wire.NewCaller(process.Ctx.Net)
	defer caller.Close()
	if at := process.Set["operator"]; at != "" {
		api := &operator.API{Ctx: process.Ctx.Part("operator"), KeyHash: func() string { return process.Now("operator-key-hash") },
			Core:  core.NewClient(process.Ctx, caller, append([]string{process.Set["addr"]}, seeds...)),
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
		go operators.Run()
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			operators.Drain(ctx)
		}()
	}
	done := make(chan struct{})
	go func() {
		server.Run()
		close(done)
	}()
	process.Ctx.Log.Info("Core is up.", "addr", process.Set["addr"], "hall", process.Ctx.Zone)
	<-process.Stop
	process.Ctx.Log.Info("Core stops.")
	server.StepDown()
	process.End()
	<-done
	return nil
}
