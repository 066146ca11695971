package daemon

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// earlySignalVariable makes the test binary play the process that gets the signal.
const earlySignalVariable = "DAEMON_TEST_EARLY_SIGNAL"

// Exit codes of that process.
const (
	exitStopped = 0
	exitMissed  = 3
)

// Guards against a stop signal that is lost for seconds because it comes right after the process has started: a library handles
// signals from its initialization on, before the process itself does.
func TestStopSignalBeforeTheHandler(t *testing.T) {
	if os.Getenv(earlySignalVariable) != "" {
		os.Exit(receiveEarlySignal())
	}
	process := exec.Command(os.Args[0], "-test.run=^TestStopSignalBeforeTheHandler$")
	process.Env = append(os.Environ(), earlySignalVariable+"=1")
	if out, err := process.CombinedOutput(); err != nil {
		t.Errorf("got %v, want the process stopped by a signal that came before its own handler: %s", err, out)
	}
}

// receiveEarlySignal gets SIGTERM while only the library handles signals, and returns whether the stop is noticed afterwards.
func receiveEarlySignal() (code int) {
	time.Sleep(200 * time.Millisecond) // the library installs its handler in a goroutine
	if syscall.Kill(os.Getpid(), syscall.SIGTERM) != nil {
		return exitMissed
	}
	<-proc.Done()
	select {
	case <-stopOnSignal():
		return exitStopped
	case <-time.After(2 * time.Second):
		return exitMissed
	}
}
