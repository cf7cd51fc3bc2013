package rpc

import (
	"sync"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// AgentClients keeps one client for each agent address, over one HTTP client. It
// is safe for use by several goroutines.
type AgentClients struct {
	http connect.HTTPClient

	mu      sync.Mutex
	clients map[string]dockpbconnect.AgentServiceClient
}

// NewAgentClients returns an empty set with connections of its own.
func NewAgentClients() *AgentClients {
	return &AgentClients{http: NewClient(), clients: make(map[string]dockpbconnect.AgentServiceClient)}
}

// At returns the client of the agent at an address.
func (c *AgentClients) At(address string) dockpbconnect.AgentServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl, ok := c.clients[address]
	if !ok {
		cl = dockpbconnect.NewAgentServiceClient(c.http, "http://"+address, ClientOptions())
		c.clients[address] = cl
	}
	return cl
}
