package rpc

import (
	"sync"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// AgentClients holds one AgentService client per agent address. All of them
// share one HTTP client. It is safe for concurrent use.
type AgentClients struct {
	http connect.HTTPClient

	mu      sync.Mutex
	clients map[string]dockpbconnect.AgentServiceClient
}

// NewAgentClients returns an empty set of clients with an HTTP client of its own.
func NewAgentClients() *AgentClients {
	return &AgentClients{http: NewClient(), clients: make(map[string]dockpbconnect.AgentServiceClient)}
}

// At returns the client of the agent at the address ("host:port").
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
