// Package tcp sets options of TCP connections that package net does not know.
package tcp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl gives a net.Dialer's Control by which TCP ends a connection whose bytes stay unacknowledged for longer
// than the limit (TCP_USER_TIMEOUT, in whole milliseconds). Else it would send them again for many minutes.
func UserTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
