// Package tcp sets socket options of TCP connections.
package tcp

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a function for net.Dialer's Control that sets TCP_USER_TIMEOUT (RFC 5482): a connection fails
// if sent bytes stay unacknowledged for longer than timeout. Without it TCP retransmits for many minutes. The timeout is
// truncated to milliseconds; 0 is the system's default. The dial fails if the option cannot be set.
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
