package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"golang.org/x/sync/errgroup"

	"foxtaildock.example/bench/httpjson"
)

// Paths of the admin interface of a Hub. The name of the link is appended.
const (
	// PathLink takes GET and PUT of State.
	PathLink = "/admin/link/"
	// PathSilence takes POST and answers with Silenced.
	PathSilence = "/admin/silence/"
)

// Silenced is the number of connections that were silenced.
type Silenced struct {
	Connections int `json:"connections"`
}

// Spec describes one link of a hub: its name, its listen address and its target address.
type Spec struct {
	Name   string
	Listen string
	Target string
}

// ParseSpec parses "name=listen=target". It returns an error for any other form.
func ParseSpec(text string) (Spec, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return Spec{}, fmt.Errorf("link %q: want name=listen=target", text)
	}
	return Spec{Name: parts[0], Listen: parts[1], Target: parts[2]}, nil
}

// String formats the spec in the form that ParseSpec parses.
func (s Spec) String() string { return s.Name + "=" + s.Listen + "=" + s.Target }

// Hub runs several links and serves an HTTP interface to set their state.
type Hub struct {
	links     map[string]*Link
	listeners map[string]net.Listener
	mux       *http.ServeMux
}

// NewHub opens the listeners of all links. It returns an error if one can't be opened.
func NewHub(specs []Spec) (*Hub, error) {
	h := &Hub{
		links:     make(map[string]*Link),
		listeners: make(map[string]net.Listener),
		mux:       http.NewServeMux(),
	}
	for _, spec := range specs {
		listener, err := net.Listen("tcp", spec.Listen)
		if err != nil {
			return nil, fmt.Errorf("link %s: %w", spec.Name, err)
		}
		h.links[spec.Name] = New(spec.Target)
		h.listeners[spec.Name] = listener
	}
	h.mux.HandleFunc("GET "+PathLink+"{name}", h.getState)
	h.mux.HandleFunc("PUT "+PathLink+"{name}", h.putState)
	h.mux.HandleFunc("POST "+PathSilence+"{name}", h.silence)
	return h, nil
}

// Run serves all links until the context ends or one of them fails.
func (h *Hub) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for name, l := range h.links {
		group.Go(func() error { return l.Run(ctx, h.listeners[name]) })
	}
	return group.Wait()
}

// ServeHTTP serves the admin interface.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Hub) find(w http.ResponseWriter, r *http.Request) (*Link, bool) {
	l, ok := h.links[r.PathValue("name")]
	if !ok {
		http.Error(w, "no such link", http.StatusNotFound)
	}
	return l, ok
}

func (h *Hub) getState(w http.ResponseWriter, r *http.Request) {
	if l, ok := h.find(w, r); ok {
		httpjson.Write(w, http.StatusOK, l.State())
	}
}

func (h *Hub) putState(w http.ResponseWriter, r *http.Request) {
	l, ok := h.find(w, r)
	if !ok {
		return
	}
	var state State
	if !httpjson.Read(w, r, &state) {
		return
	}
	l.Set(state)
	httpjson.Write(w, http.StatusOK, state)
}

func (h *Hub) silence(w http.ResponseWriter, r *http.Request) {
	if l, ok := h.find(w, r); ok {
		httpjson.Write(w, http.StatusOK, Silenced{Connections: l.Silence()})
	}
}
