package main

import (
	"net"
	"sync"
	"time"
)

// Proxy is on the path between clients and one address of the system. It passes bytes on, until it
// is told to lose track of its connections.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	pairs    []*pair
}

type pair struct {
	near, far *net.TCPConn // towards the client and towards the system
	mu        sync.Mutex
	lost      bool
}

// NewProxy returns a proxy in front of the target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

// Address returns where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = c.Close()
			continue
		}
		k := &pair{near: c.(*net.TCPConn), far: far.(*net.TCPConn)}
		p.mu.Lock()
		p.pairs = append(p.pairs, k)
		p.mu.Unlock()
		go k.carry(k.near, k.far)
		go k.carry(k.far, k.near)
	}
}

func (k *pair) carry(from, to *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		lost := k.lost
		k.mu.Unlock()
		if lost {
			return // nothing passes any more, not even the end
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// LoseTrack makes a share of the connections that are open now silent for good towards the system,
// and resets them towards the clients. New connections work.
func (p *Proxy) LoseTrack(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := int(share * float64(len(p.pairs)))
	for _, k := range p.pairs[:lost] {
		k.mu.Lock()
		k.lost = true
		k.mu.Unlock()
		_ = k.near.SetLinger(0)
		_ = k.near.Close()
	}
	p.pairs = p.pairs[lost:]
}

// Close accepts no more connections.
func (p *Proxy) Close() { _ = p.listener.Close() }
