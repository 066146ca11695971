// Command driver2 plays the cases of the second review. Each case starts the project's own program as separate processes with
// the commands of the deploy file, and brings its own stand-ins for clients, runners, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(file, line); err != nil {
			_ = file.Close()
			return err
		}
	}
	return file.Close()
}

// verdict is the result of a case: how often the rule was broken.
type verdict struct {
	broken bool
	text   string
}

// caseFunc plays a case. disrupt is false for the run without the disruption.
type caseFunc func(rec *record, disrupt bool) (verdict, error)

var cases = map[string]caseFunc{}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Println("usage: driver2 CASE RECORD")
		return exitNotRun
	}
	rec := &record{begun: time.Now()}
	result, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
	} else {
		rec.add("%s", result.text)
	}
	if writeErr := rec.write(args[1]); writeErr != nil {
		fmt.Println(writeErr)
		return exitNotRun
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	switch {
	case err != nil:
		return exitNotRun
	case result.broken:
		return exitBroken
	}
	return exitHeld
}
