package daemon

import (
	"context"
	"log/slog"

	"yarrowridge/internal/transport/wire"
)

// Context is the context of one run of one process. It adds to a context.Context what is fixed for that run.
type Context struct {
	context.Context
	Name  string       // the process's name
	Zone  string       // the zone it stands in
	RunID uint64       // this run of the process; a restart has another, drawn at random
	Log   *slog.Logger // already prefixed for the component
	Net   wire.Network // how to dial and listen
}

// WithComponent returns the context of one component, whose log lines begin with its name.
func (c Context) WithComponent(name string) Context {
	c.Log = c.Log.With("part", name)
	return c
}
