package crowd

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process uses. Memory is in bytes.
type Usage struct {
	// Resident is the memory of the process, and Unread what it has received on its sockets and
	// not yet read.
	Resident, Unread int64
	// PeakResident is the most that Resident was since the process started.
	PeakResident int64
	// Sockets is the number of open sockets.
	Sockets int
}

// Memory returns the memory that counts towards the limit of the process.
func (u Usage) Memory() int64 { return max(u.Resident+u.Unread, u.PeakResident) }

// UsageOf returns what a process uses whose sockets have the given local address.
func UsageOf(pid int, address netip.Addr) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64) // 0 in lines of another kind
		switch name {
		case "VmRSS":
			u.Resident = kb << 10
		case "VmHWM":
			u.PeakResident = kb << 10
		}
	}
	if u.Unread, err = unread(address); err != nil {
		return u, err
	}
	u.Sockets, err = sockets(pid)
	return u, err
}

// sockets returns the number of open sockets of a process.
func sockets(pid int) (int, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n, nil
}

// unread returns the bytes that wait in all sockets with the local address.
func unread(address netip.Addr) (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	octets := address.As4()
	for i, j := 0, len(octets)-1; i < j; i, j = i+1, j-1 {
		octets[i], octets[j] = octets[j], octets[i] // the table has them as a little-endian number
	}
	prefix := strings.ToUpper(hex.EncodeToString(octets[:])) + ":"
	var sum int64
	for _, line := range bytes.Split(table, []byte("\n")) {
		fields := strings.Fields(string(line)) // number, local, remote, state, tx_queue:rx_queue, ...
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("/proc/net/tcp: %w", err)
		}
		sum += n
	}
	return sum, nil
}

// stateListen is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const stateListen = "0A"

// watchInterval is the interval at which Watch looks at a process.
const watchInterval = 50 * time.Millisecond

// Watch looks at a process until the context ends, and then sends the most that it has used of
// each.
func Watch(ctx context.Context, pid int, address netip.Addr) <-chan Usage {
	result := make(chan Usage, 1)
	go func() {
		var most Usage
		for {
			if u, err := UsageOf(pid, address); err == nil { // the process may have ended
				if u.Memory() > most.Memory() {
					most.Resident, most.Unread, most.PeakResident = u.Resident, u.Unread, u.PeakResident
				}
				most.Sockets = max(most.Sockets, u.Sockets)
			}
			select {
			case <-ctx.Done():
				result <- most
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return result
}
