// Package tcp sets options of TCP connections that package net does not know.
package tcp

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a net.Dialer's Control with which TCP fails a connection whose bytes stay unacknowledged
// for longer than timeout (TCP_USER_TIMEOUT, RFC 5482; in whole milliseconds, where 0 is the system's default). Without
// it TCP retransmits for many minutes. The dial fails where the option cannot be set.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		if optionErr != nil {
			return fmt.Errorf("set TCP_USER_TIMEOUT: %w", optionErr)
		}
		return nil
	}
}
