package control

import (
	"fmt"
	"strconv"

	"yarrowridge/internal/lib/settings"
)

// Items are the settings of the core program.
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

// checkSettings judges the settings against one another.
func checkSettings(set settings.Values) settings.Problems {
	bad := checkFounders(set)
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

// parseNumber reads a setting that checkSettings has accepted.
func parseNumber(set settings.Values, name string) int {
	n, _ := strconv.Atoi(set[name])
	return n
}

// checkFounders judges whether the founders, or without any the seeds, can found the fleet.
func checkFounders(set settings.Values) settings.Problems {
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
