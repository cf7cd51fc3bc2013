// Package measure takes the figures of real processes: response time against the
// ideal, processor time for each task start, and the jobs harmed by a dead agent.
// Figures are ratios or medians within one run, since wall-clock times of a
// shared machine are noisy.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor time in /proc, one hundredth of a second.
const tick = 10 * time.Millisecond

// Positions of fields in /proc/PID/stat, counted behind the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// usage is what one process has used so far.
type usage struct {
	cpu time.Duration
	// resident is the memory in use, in bytes.
	resident int64
}

// readUsage reads what a process has used.
func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("processor time of a process: %w", err)
	}
	rest := string(text)[strings.LastIndexByte(string(text), ')')+1:]
	fields := strings.Fields(rest)
	if len(fields) <= fieldResident {
		return usage{}, fmt.Errorf("processor time of a process: %d fields", len(fields))
	}
	user, errUser := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResident], 10, 64)
	for _, err := range []error{errUser, errSystem, errPages} {
		if err != nil {
			return usage{}, fmt.Errorf("processor time of a process: %w", err)
		}
	}
	return usage{cpu: time.Duration(user+system) * tick, resident: pages * int64(os.Getpagesize())}, nil
}
