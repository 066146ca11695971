package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/proc"
)

// stopOnSignal returns a channel that is closed on the first SIGTERM or SIGINT, also if it came before this call: go-zero handles
// signals from its initialization on and would pass one on to the process only after seconds. Further ones are ignored for the life of the
// process, so that they do not interrupt draining; SIGKILL ends the process at once.
func stopOnSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		select {
		case <-signals:
		case <-proc.Done():
		}
		close(stop)
	}()
	return stop
}

// hangups returns a channel that receives SIGHUPs. Those that arrive while one is handled count as one.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
