package upstream

import (
	"context"
	"net"
	"time"
)

// What Options stand for where they are zero.
const (
	DefaultDialTimeout      = 150 * time.Millisecond
	DefaultIdleTimeout      = 10 * time.Second
	DefaultMaxIdlePerRunner = 32
)

// Options are the settings of a Pool. The zero value has the defaults.
type Options struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // a runner's Keep-Alive header shortens it
	MaxIdlePerRunner int
	// Dial opens a connection; nil: TCP to an IPv4 address given by number. It must return when ctx ends.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Stats are the connections taken so far.
type Stats struct {
	Dials  uint64 // connections opened, or tried to
	Reuses uint64 // exchanges begun on a connection that was idle
}
