// Package measure measures a system of real processes: response time relative to the
// ideal, processor time for each task start and without work, and the jobs that fail
// when an agent is killed. Figures are ratios or medians within one run, since
// wall-clock times of a shared machine are noisy.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, one hundredth of a second.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// usage is the resources that one process uses.
type usage struct {
	// cpu is the processor time since the process started.
	cpu time.Duration
	// resident is the memory in use, in bytes.
	resident int64
}

// readUsage reads the usage of a process from /proc/PID/stat.
func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read the usage of a process: %w", err)
	}
	rest := string(text)[strings.LastIndexByte(string(text), ')')+1:]
	fields := strings.Fields(rest)
	if len(fields) <= fieldResident {
		return usage{}, fmt.Errorf("read the usage of a process: /proc/PID/stat has only %d fields after the command name", len(fields))
	}
	user, errUser := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResident], 10, 64)
	for _, err := range []error{errUser, errSystem, errPages} {
		if err != nil {
			return usage{}, fmt.Errorf("read the usage of a process: %w", err)
		}
	}
	return usage{cpu: time.Duration(user+system) * clockTick, resident: pages * int64(os.Getpagesize())}, nil
}
