package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// stopOnSignal returns a channel that is closed upon the first SIGTERM or SIGINT. Further ones change nothing: draining
// takes its time, and SIGKILL is there for those who can't wait. The signals stay caught for the life of the process.
func stopOnSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// hangups returns the channel of SIGHUPs. Those that come while one is handled count as one.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
