package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"

	"golang.org/x/sync/errgroup"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/httpjson"
	"foxtaildock.example/bench/link"
	"foxtaildock.example/bench/platformd"
)

// ledgerMode is the permission of a ledger file.
const ledgerMode = 0o600

type platformCommand struct {
	Listen          string `arg:"--listen,required" help:"address of the platform's interface and of the admin interface"`
	ReadsPerSecond  int    `arg:"--reads" default:"2000" help:"rows read per second above which the platform answers 503"`
	WritesPerSecond int    `arg:"--writes" default:"500" help:"rows written per second above which the platform answers 503"`
}

func (c *platformCommand) run(ctx context.Context) error {
	srv := platformd.New(platformd.Options{
		ReadsPerSecond:  c.ReadsPerSecond,
		WritesPerSecond: c.WritesPerSecond,
	})
	return serve(ctx, c.Listen, &http.Server{Handler: srv})
}

type backendCommand struct {
	Listen      string   `arg:"--listen,required" help:"address of the backend server"`
	Announce    string   `arg:"--announce" help:"address to announce, if it is not --listen"`
	Agent       string   `arg:"--agent" help:"address of the agent's local listener, to which the backend server is announced"`
	Name        string   `arg:"--name,required" help:"name of the backend server in answers and ledgers"`
	Domain      string   `arg:"--domain,required" help:"failure domain of the backend server in ledgers"`
	Services    []string `arg:"--services" help:"services to announce"`
	Slots       int      `arg:"--slots" default:"8" help:"number of tasks that run at a time"`
	Connections int      `arg:"--connections" default:"64" help:"number of connections to announce"`
	Ledger      string   `arg:"--ledger" help:"file to which every start is appended"`
}

func (c *backendCommand) run(ctx context.Context) error {
	ledger, err := openLedger(c.Ledger)
	if err != nil {
		return err
	}
	srv := backend.New(backend.Options{
		Name:        c.Name,
		Domain:      c.Domain,
		Services:    c.Services,
		Slots:       c.Slots,
		Connections: c.Connections,
		LedgerFile:  ledger,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return serve(ctx, c.Listen, &http.Server{Handler: srv, ConnState: srv.ConnState})
	})
	if c.Agent != "" {
		group.Go(func() error {
			backend.Announce(ctx, c.Agent, c.announcement())
			return nil
		})
	}
	return group.Wait()
}

func (c *backendCommand) announcement() backend.Announcement {
	address := c.Announce
	if address == "" {
		address = c.Listen
	}
	return backend.Announcement{
		Services:    c.Services,
		Address:     address,
		Slots:       c.Slots,
		Connections: c.Connections,
	}
}

// openLedger opens the ledger for appending, so that it outlives a restart. It returns
// nil for an empty path.
func openLedger(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, ledgerMode)
}

type linkCommand struct {
	Admin string   `arg:"--admin,required" help:"address of the admin interface"`
	Links []string `arg:"positional,required" help:"links, each as name=listen=target"`
}

func (c *linkCommand) run(ctx context.Context) error {
	var specs []link.Spec
	for _, text := range c.Links {
		spec, err := link.ParseSpec(text)
		if err != nil {
			return err
		}
		specs = append(specs, spec)
	}
	hub, err := link.NewHub(specs)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return hub.Run(ctx) })
	group.Go(func() error { return serve(ctx, c.Admin, &http.Server{Handler: hub}) })
	return group.Wait()
}

func serve(ctx context.Context, address string, srv *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return httpjson.Serve(ctx, listener, srv)
}
