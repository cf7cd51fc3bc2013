package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort lie below the range from which the kernel takes
	// the ephemeral ports of outgoing connections, so that none of those can
	// occupy a port before its process listens.
	firstPort = 20_000
	lastPort  = 32_000
)

// portsTried is the number of ports that freeAddress has tried.
var portsTried atomic.Int64

// loopbackIP returns an address in 127.0.0.0/8 that is derived from the process id, so
// that concurrent runs use different addresses.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>14)&0x7f, (pid>>7)&0x7f, 1+pid&0x7f)
}

// freeAddress returns a host:port on which nothing listens. Within one
// process it returns no port twice.
func freeAddress() (string, error) {
	for {
		port := firstPort + portsTried.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("no free port up to %d", lastPort)
		}
		address := fmt.Sprintf("%s:%d", loopbackIP(), port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
}
