package upstream

import (
	"context"
	"net"
	"time"
)

// Defaults for zero fields of Options.
const (
	DefaultDialTimeout      = 150 * time.Millisecond
	DefaultIdleTimeout      = 10 * time.Second
	DefaultMaxIdlePerRunner = 32
)

// Options are the settings of a Pool. Zero fields stand for the defaults.
type Options struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // the Keep-Alive header of a response can shorten it
	MaxIdlePerRunner int
	// Dial opens a connection and has to return when ctx ends. If it is nil, the pool dials TCP to IPv4 addresses in the form
	// ip:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Stats are counters of a Pool.
type Stats struct {
	Dials  uint64 // dial attempts, including failed ones
	Reuses uint64 // exchanges started on an idle connection
}
