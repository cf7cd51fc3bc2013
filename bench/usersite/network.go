package usersite

import (
	"io"
	"net"
	"sync"
	"time"
)

// Network is the path between callers and one entry. While it is cut no byte passes, and what
// is sent waits, as TCP would send it again afterwards.
type Network struct {
	// EndDelay is how much later than the last bytes the end of a connection arrives.
	EndDelay time.Duration

	listener net.Listener
	target   string
	mu       sync.Mutex
	whole    chan struct{} // closed while the path is whole
}

// NewNetwork returns a path to the entry at the target address. Close closes it.
func NewNetwork(target string) (*Network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Network{listener: l, target: target, whole: make(chan struct{})}
	close(n.whole)
	go n.accept()
	return n, nil
}

// Address returns the address to which callers connect.
func (n *Network) Address() string { return n.listener.Addr().String() }

// Close accepts no more connections.
func (n *Network) Close() { _ = n.listener.Close() }

// Cut cuts the path.
func (n *Network) Cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.whole = make(chan struct{})
}

// Heal ends the cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.whole)
}

func (n *Network) wait() {
	n.mu.Lock()
	whole := n.whole
	n.mu.Unlock()
	<-whole
}

func (n *Network) accept() {
	for {
		caller, err := n.listener.Accept()
		if err != nil {
			return // closed
		}
		go n.connect(caller)
	}
}

func (n *Network) connect(caller net.Conn) {
	entry, err := net.Dial("tcp", n.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	go n.carry(caller, entry)
	n.carry(entry, caller)
}

// carry passes bytes on in one direction until the end of the connection.
func (n *Network) carry(from io.Reader, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		n.wait()
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
			return
		}
		if err != nil {
			time.Sleep(n.EndDelay)
			return
		}
	}
}
