package daemon

// Exit codes of the programs.
const (
	ExitOK    = 0
	ExitError = 1 // the program ran and ended with an error
	ExitUsage = 2 // the command line or the settings are invalid
)

// Running is returned instead of an exit code if the program is to continue. It is less than every exit code.
const Running = -1
