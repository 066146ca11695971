package daemon

import (
	"context"
	"log/slog"

	"yarrowridge/internal/transport/wire"
)

// Context is a context.Context with the values that are fixed for one run of a process.
type Context struct {
	context.Context
	Name  string       // name of the process
	Zone  string       // zone in which it runs
	RunID uint64       // random; identifies this run of the process
	Log   *slog.Logger // with the component already set
	Net   wire.Network // how to dial and listen
}

// WithComponent returns the context of a component, whose log messages are prefixed with its name.
func (c Context) WithComponent(name string) Context {
	c.Log = c.Log.With("part", name)
	return c
}
