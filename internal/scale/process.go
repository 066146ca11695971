package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit in which Linux tells processor time.
const clockTick = 10 * time.Millisecond

// usage is what a process has used.
type usage struct {
	processor time.Duration // since its start
	memory    int64         // resident bytes now
	peak      int64         // most resident bytes
	files     int           // open file descriptors
}

// usageOf reads what a process has used from /proc.
func usageOf(pid int) (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return usage{}, err
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return usage{}, err
	}
	files, err := os.ReadDir(folder + "fd")
	if err != nil {
		return usage{}, err
	}
	processor, err := processorTime(stat)
	if err != nil {
		return usage{}, err
	}
	return usage{processor: processor, memory: kilobytes(status, "VmRSS:"), peak: kilobytes(status, "VmHWM:"), files: len(files)}, nil
}

// processorTime reads the user and system time of /proc/PID/stat: the 14th and 15th fields. The second field is a
// name in brackets that may hold spaces.
func processorTime(stat []byte) (time.Duration, error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("scale: /proc/PID/stat has %d fields after the name, 13 expected at least", len(fields))
	}
	ticks := 0
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// kilobytes reads a line such as "VmRSS:   1234 kB" as bytes; 0 where there is none.
func kilobytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}
