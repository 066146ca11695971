package router

import (
	"yarrowridge/internal/lib/settings"
)

// Items are the settings of the router program.
var Items = []settings.Setting{
	{Name: "name", Kind: settings.Text, Required: true, Help: "name of this process, its own in the fleet"},
	{Name: "hall", Kind: settings.Text, Required: true, Help: "hall it stands in"},
	{Name: "addr", Kind: settings.Addr, Required: true, Help: "ip:port where other processes reach it"},
	{Name: "origin", Kind: settings.Addr, Required: true, Help: "ip:port of the origins' listener"},
	{Name: "runner", Kind: settings.Addr, Required: true, Help: "ip:port of the runners' listener"},
	{Name: "listen", Kind: settings.Addr, Help: "ip:port to bind for other processes, where that is not addr"},
	{Name: "from", Kind: settings.IP, Help: "ip number to dial other processes and runners from; none: the system's choice"},
	{Name: "operator", Kind: settings.Addr, Help: "ip:port of the operators' listener"},
	{Name: "operator-key-hash", Kind: settings.Hash, Reloadable: true, Help: "hex SHA-256 of the operators' key"},
	{Name: "runner-key-hash", Kind: settings.Hash, Reloadable: true, Help: "hex SHA-256 of the runners' key; none: beats need no key"},
	{Name: "seeds", Kind: settings.List, Required: true, Help: "addresses of three other processes of the fleet"},
	{Name: "drain", Kind: settings.Duration, Help: "the most that a stop waits for queries under way; none: as long as they take"},
	{Name: "notice", Kind: settings.Duration, Default: "500ms", Help: "how long a stop goes on serving all after /ready has turned"},
	{Name: "trace", Kind: settings.Text, Help: "file to which each query's trace is appended; none: no traces"},
	{Name: "log", Kind: settings.Level, Reloadable: true, Default: "info", Help: "debug, info, warn or error"},
}
