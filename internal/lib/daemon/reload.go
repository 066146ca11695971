package daemon

import (
	"log/slog"

	"yarrowridge/internal/lib/settings"
)

// reload reads the settings again. If any is invalid, none changes; otherwise only the reloadable ones change. It is called only
// by the goroutine that handles SIGHUP.
func (p *Process) reload(prog string, items []settings.Setting, args []string) {
	values, _, err := settings.Read(prog, items, args)
	if err != nil {
		p.Ctx.Log.Error("Reloaded settings do not hold. The old ones stay.", "error", err.Error())
		return
	}
	for _, setting := range items {
		if current := p.Setting(setting.Name); current != values[setting.Name] && !setting.Reloadable {
			p.Ctx.Log.Warn("Setting changes only with a restart.", "setting", setting.Name)
			values[setting.Name] = current
		}
	}
	p.current.Store(&values)
	p.logLevel.Set(parseLogLevel(values["log"]))
	p.Ctx.Log.Info("Settings reloaded.")
}

// parseLogLevel returns the log level of a checked setting; the level of an empty one is info.
func parseLogLevel(name string) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}[name]
}
