package daemon

// Exit codes of the programs.
const (
	ExitOK    = 0
	ExitError = 1 // it ran, and ended with an error
	ExitUsage = 2 // the command line or the settings do not hold
)

// Running stands in place of an exit code while the program is to go on. It is below all exit codes.
const Running = -1
