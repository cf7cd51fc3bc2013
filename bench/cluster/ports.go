package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort lie below the range from which the kernel takes
	// the ports of outgoing connections.
	firstPort = 20_000
	lastPort  = 32_000
)

var portsTaken atomic.Int64

// loopbackIP returns an address in 127.0.0.0/8 that belongs to this process as
// long as it lives, so that runs side by side never clash.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>14)&0x7f, (pid>>7)&0x7f, 1+pid&0x7f)
}

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	for {
		port := firstPort + portsTaken.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("no free port below %d", lastPort)
		}
		address := fmt.Sprintf("%s:%d", loopbackIP(), port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
}
