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

// checkSettings checks ranges and combinations of settings.
func checkSettings(values settings.Values) settings.Problems {
	problems := checkFounders(values)
	for _, n := range []struct {
		name            string
		lowest, highest int
	}{{"losses", 1, 4}, {"max-members", 3, 15}} {
		if got, err := strconv.Atoi(values[n.name]); err != nil || got < n.lowest || got > n.highest {
			problems = append(problems, fmt.Sprintf("setting %q: value %q: a number from %d to %d expected", n.name, values[n.name], n.lowest, n.highest))
		}
	}
	if v := values["bootstrap"]; v != "true" && v != "false" {
		problems = append(problems, fmt.Sprintf("setting \"bootstrap\": value %q: true or false expected", v))
	} else if v == "true" && values["founders"] != "" {
		problems = append(problems, "setting \"bootstrap\": value \"true\": no founders expected beside it")
	}
	return problems
}

// parseNumber parses a setting that checkSettings has accepted.
func parseNumber(values settings.Values, name string) int {
	n, _ := strconv.Atoi(values[name])
	return n
}

// checkFounders checks that the founders can found the fleet. If none are set, it checks that there are seeds.
func checkFounders(values settings.Values) settings.Problems {
	founders := values.Addrs("founders")
	if len(founders) == 0 {
		if len(values.Addrs("seeds")) == 0 {
			return settings.Problems{`setting "seeds": value "": addresses of living processes expected, since no founders are set`}
		}
		return nil
	}
	var problems settings.Problems
	if n := len(founders); n < 3 || n%2 == 0 {
		problems = append(problems, fmt.Sprintf("setting \"founders\": %d addresses: an odd number of at least three expected", n))
	}
	seen := map[string]bool{}
	for _, addr := range founders {
		if seen[addr] {
			problems = append(problems, fmt.Sprintf("setting \"founders\": value %q: stands there twice", addr))
		}
		seen[addr] = true
	}
	if !seen[values["addr"]] {
		problems = append(problems, fmt.Sprintf("setting \"founders\": this core's own addr %q expected among them", values["addr"]))
	}
	return problems
}
