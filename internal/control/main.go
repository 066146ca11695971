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
var Items = []env.Item{
	{Name: "name", Kind: env.Text, Must: true, Help: "name of this process"},
	{Name: "hall", Kind: env.Text, Must: true, Help: "hall it stands in"},
	{Name: "addr", Kind: env.Addr, Must: true, Help: "ip:port where other processes reach it"},
	{Name: "listen", Kind: env.Addr, Help: "ip:port to bind for other processes, where that is not addr"},
	{Name: "from", Kind: env.IP, Help: "ip number to dial other processes and runners from; none: the system's choice"},
	{Name: "operator", Kind: env.Addr, Help: "ip:port of the operators' listener"},
	{Name: "operator-key-hash", Kind: env.Hash, Live: true, Help: "hex SHA-256 of the operators' key"},
	{Name: "seeds", Kind: env.List, Help: "addresses of three other processes of the fleet"},
	{Name: "founders", Kind: env.List, Help: "addresses of all cores that found the fleet, this one among them; an odd number"},
	{Name: "bootstrap", Kind: env.Text, Def: "false", Help: "true: without founders, the seeds found the fleet; the same seeds on all cores then"},
	{Name: "losses", Kind: env.Text, Def: "1", Help: "how many disks may be lost at once: so many backups hold each write; 1 to 4"},
	{Name: "max-members", Kind: env.Text, Def: "9", Help: "the most cores that vote, 3 to 15; more wait until one is lost"},
	{Name: "data", Kind: env.Dir, Must: true, Help: "data folder"},
	{Name: "lost", Kind: env.Span, Def: "10s", Help: "silence after which a lost member is replaced by a waiting core"},
	{Name: "log", Kind: env.Level, Live: true, Def: "info", Help: "debug, info, warn or error"},
}

// check holds the settings against one another.
func check(set env.Set) env.Trouble {
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
func number(set env.Set, name string) int {
	n, _ := strconv.Atoi(set[name])
	return n
}

// founders checks that the list of founders can found anything.
func founders(set env.Set) env.Trouble {
	all := set.Addrs("founders")
	if len(all) == 0 {
		if len(set.Addrs("seeds")) == 0 {
			return env.Trouble{`setting "seeds": value "": addresses of living processes expected, since no founders are set`}
		}
		return nil
	}
	var bad env.Trouble
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
	p, code := env.Start("core", Items, args, out, check)
	if code >= 0 {
		return code
	}
	defer p.End()
	if err := run(p); err != nil {
		fmt.Fprintf(out, "core: %s\n", err)
		return env.ExitTrouble
	}
	return env.ExitOk
}

func run(p *env.Proc) error {
	disk, err := store.OpenFolder(p.Set["data"])
	if err != nil {
		return err
	}
	lock, err := store.Lock(p.Set["data"])
	if err != nil {
		return err
	}
	defer lock.Close()
	seeds := p.Set.Addrs("seeds")
	srv, err := core.Open(p.Ctx.Part("core"), core.Set{
		Addr: p.Set["addr"], Founders: p.Set.Addrs("founders"), Seeds: seeds, Lost: p.Set.Span("lost"),
		Bootstrap: p.Set["bootstrap"] == "true", Losses: number(p.Set, "losses"), MaxMembers: number(p.Set, "max-members")}, disk)
	if err != nil {
		return err
	}
	l, err := p.Ctx.Net.Listen(p.Set.Or("listen", "addr"))
	if err != nil {
		return err
	}
	go wire.Serve(p.Ctx, l, srv.Hand)
	cal := wire.NewCaller(p.Ctx.Net)
	defer cal.Close()
	if at := p.Set["operator"]; at != "" {
		face := &operator.Face{Ctx: p.Ctx.Part("operator"), KeyHash: func() string { return p.Now("operator-key-hash") },
			Core:  core.NewClient(p.Ctx, cal, append([]string{p.Set["addr"]}, seeds...)),
			Ready: srv.Why,
			Views: map[string]func() any{
				"/v1/standing": func() any { return srv.Peek() },
				"/v1/traffic":  func() any { return wire.TrafficByKind() }}}
		h, err := face.Handler()
		if err != nil {
			return err
		}
		s, err := web.Listen(at, h)
		if err != nil {
			return err
		}
		go s.Run()
		defer func() {
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			defer end()
			s.Drain(ctx)
		}()
	}
	done := make(chan struct{})
	go func() {
		srv.Run()
		close(done)
	}()
	p.Ctx.Log.Info("Core is up.", "addr", p.Set["addr"], "hall", p.Ctx.Hall)
	<-p.Stop
	p.Ctx.Log.Info("Core stops.")
	srv.Yield()
	p.End()
	<-done
	return nil
}
