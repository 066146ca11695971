// Package env holds what a process is told about its place (the settings), the project's
// one context type, and the run loop that every part shares.
package env

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"

	"yarrowridge/internal/wire"
)

// Ctx is the project's context: what nearly every part needs, in one value.
type Ctx struct {
	context.Context
	Name string       // this process's name
	Hall string       // the hall it stands in
	Born uint64       // this run of the process; a restart has another, drawn at random
	Log  *slog.Logger // already prefixed for the part
	Net  wire.Net     // how to dial and listen
}

// Part gives the context of one part: its log lines begin with the part's name.
//
//	c := ctx.Part("lease")
func (c Ctx) Part(name string) Ctx {
	c.Log = c.Log.With("part", name)
	return c
}

// Loop is the run loop of every part: it takes work from box and beats each tick until ctx ends.
// A nil box only beats; a tick of zero only takes work.
//
//	env.Loop(ctx, box, time.Second, func(w work) { ... }, func() { ... })
func Loop[M any](ctx context.Context, box <-chan M, tick time.Duration, on func(M), beat func()) {
	var c <-chan time.Time
	if tick > 0 {
		t := time.NewTicker(tick)
		defer t.Stop()
		c = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			on(m)
		case <-c:
			beat()
		}
	}
}

// Wait blocks for d or until ctx ends; it tells whether the time ran out in full.
//
//	if !env.Wait(ctx, time.Second) { return }
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Kind is what a setting must look like.
type Kind int

// The kinds of setting.
const (
	Text  Kind = iota // any string that is not empty
	Addr              // ip:port
	List              // ip:port, comma-separated; a JSON list in the file
	Span              // a duration such as "2s"
	Dir               // a folder
	Hash              // 64 hex digits
	Level             // a log level
	IP                // an ip number
)

// Item describes one setting: what the flag, the key in the file and the check are called.
type Item struct {
	Name string
	Kind Kind
	Def  string
	Must bool // has to be set
	Live bool // may be reloaded
	Help string
}

// Set is what was settled: every setting by name.
type Set map[string]string

// Addrs splits a List setting.
//
//	for _, a := range set.Addrs("seeds") { ... }
func (s Set) Addrs(name string) []string {
	if s[name] == "" {
		return nil
	}
	return strings.Split(s[name], ",")
}

// Span reads a Span setting, already checked.
//
//	d := set.Span("drain")
func (s Set) Span(name string) time.Duration {
	d, _ := time.ParseDuration(s[name])
	return d
}

// Or reads a setting, or another where it is not set.
//
//	at := set.Or("listen", "addr")
func (s Set) Or(name, other string) string {
	if s[name] != "" {
		return s[name]
	}
	return s[other]
}

// Trouble is a list of plain sentences about settings that do not hold.
type Trouble []string

// Error joins them, a line each.
//
//	env.Trouble{"a", "b"}.Error()
func (t Trouble) Error() string { return strings.Join(t, "\n") }

// Ask is what the command line asked for beyond settings.
type Ask struct {
	Check, Version bool
	File           string
}

// Read settles the settings from args and, where -env names one, a JSON file. Flags win.
//
//	set, ask, err := env.Read("core", items, os.Args[1:])
func Read(prog string, items []Item, args []string) (Set, Ask, error) {
	var ask Ask
	fs := flag.NewFlagSet(prog, flag.ContinueOnError)
	fs.StringVar(&ask.File, "env", "", "settings file (JSON); flags win over it")
	fs.BoolVar(&ask.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&ask.Version, "version", false, "print the version and exit")
	val := map[string]*string{}
	for _, it := range items {
		val[it.Name] = fs.String(it.Name, it.Def, it.Help)
	}
	if err := fs.Parse(args); err != nil {
		return nil, ask, err
	}
	if ask.Version {
		return Set{}, ask, nil
	}
	if fs.NArg() > 0 {
		return nil, ask, Trouble{fmt.Sprintf("argument %q: nothing expected after the flags", fs.Arg(0))}
	}
	set := Set{}
	for _, it := range items {
		set[it.Name] = *val[it.Name]
	}
	var bad Trouble
	if ask.File != "" {
		raw, err := os.ReadFile(ask.File)
		if err != nil {
			return nil, ask, eris.Wrapf(err, "settings file %s", ask.File)
		}
		flags := map[string]bool{}
		fs.Visit(func(f *flag.Flag) { flags[f.Name] = true })
		got, t := parse(items, raw)
		bad = append(bad, t...)
		for k, v := range got {
			if !flags[k] {
				set[k] = v
			}
		}
	}
	bad = append(bad, Check(items, set)...)
	if len(bad) > 0 {
		return nil, ask, bad
	}
	return set, ask, nil
}

func parse(items []Item, raw []byte) (Set, Trouble) {
	if !gjson.ValidBytes(raw) {
		return nil, Trouble{"settings file: valid JSON expected"}
	}
	doc := gjson.ParseBytes(raw)
	if !doc.IsObject() {
		return nil, Trouble{"settings file: a JSON object expected"}
	}
	know := map[string]Item{}
	for _, it := range items {
		know[it.Name] = it
	}
	set, bad := Set{}, Trouble{}
	doc.ForEach(func(k, v gjson.Result) bool {
		it, ok := know[k.String()]
		switch {
		case !ok:
			bad = append(bad, fmt.Sprintf("setting %q: unknown", k.String()))
		case it.Kind == List && v.IsArray():
			var all []string
			for _, e := range v.Array() {
				all = append(all, e.String())
			}
			set[it.Name] = strings.Join(all, ",")
		case v.Type == gjson.String:
			set[it.Name] = v.String()
		default:
			bad = append(bad, fmt.Sprintf("setting %q: value %s: a string%s expected", it.Name, v.Raw, map[bool]string{true: " or a list of strings"}[it.Kind == List]))
		}
		return true
	})
	return set, bad
}

// Check tells everything that is wrong with a set, by name, value and what was expected.
//
//	if bad := env.Check(items, set); len(bad) > 0 { ... }
func Check(items []Item, set Set) Trouble {
	var bad Trouble
	say := func(name, val, want string) {
		bad = append(bad, fmt.Sprintf("setting %q: value %q: %s expected", name, val, want))
	}
	for _, it := range items {
		v := set[it.Name]
		if v == "" {
			if it.Must {
				say(it.Name, v, "a value")
			}
			continue
		}
		switch it.Kind {
		case Addr:
			if _, err := netip.ParseAddrPort(v); err != nil {
				say(it.Name, v, "ip:port")
			}
		case IP:
			if _, err := netip.ParseAddr(v); err != nil {
				say(it.Name, v, "an ip number")
			}
		case List:
			for _, a := range strings.Split(v, ",") {
				if _, err := netip.ParseAddrPort(a); err != nil {
					say(it.Name, a, "ip:port in each place")
				}
			}
		case Span:
			if d, err := time.ParseDuration(v); err != nil || d <= 0 {
				say(it.Name, v, "a duration above zero, such as 2s")
			}
		case Dir:
			if st, err := os.Stat(v); err == nil && !st.IsDir() {
				say(it.Name, v, "a folder")
			}
		case Hash:
			if b, err := hex.DecodeString(v); err != nil || len(b) != 32 {
				say(it.Name, v, "64 hex digits, a SHA-256,")
			}
		case Level:
			if v != "debug" && v != "info" && v != "warn" && v != "error" {
				say(it.Name, v, "debug, info, warn or error")
			}
		case Text:
			if strings.ContainsAny(v, " \t\r\n\"") {
				say(it.Name, v, "a word without spaces or quotes")
			}
		}
	}
	sort.Strings(bad)
	return bad
}
