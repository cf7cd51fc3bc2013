package link_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"foxtaildock.example/bench/link"
)

// silenceCheck is how long the test waits for data on a silent connection.
const silenceCheck = 100 * time.Millisecond

// startEcho runs a server that echoes each line, behind a link.
func startEcho(t *testing.T) (*link.Link, string) {
	t.Helper()
	server := listen(t)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	near := listen(t)
	l := link.New(server.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx, near) }()
	return l, near.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func echo(conn net.Conn) {
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(line))
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func roundTrip(conn net.Conn) error {
	if _, err := fmt.Fprintln(conn, "hello"); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	l, address := startEcho(t)
	old := dial(t, address)
	if err := roundTrip(old); err != nil {
		t.Fatal(err)
	}
	if n := l.Silence(); n != 1 {
		t.Fatalf("silenced %d connections, want 1", n)
	}
	_ = old.SetDeadline(time.Now().Add(silenceCheck))
	if err := roundTrip(old); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("silent connection: %v, want an exceeded deadline", err)
	}
	if err := roundTrip(dial(t, address)); err != nil {
		t.Fatalf("new connection: %v", err)
	}
}

func TestCutAndHeal(t *testing.T) {
	l, address := startEcho(t)
	l.Set(link.State{DelayMS: 1})
	conn := dial(t, address)
	if err := roundTrip(conn); err != nil {
		t.Fatal(err)
	}
	l.Set(link.State{Cut: true})
	if err := roundTrip(conn); err == nil {
		t.Fatal("an open connection survived the cut")
	}
	if err := roundTrip(dial(t, address)); err == nil {
		t.Fatal("a new connection passed the cut link")
	}
	l.Set(link.State{})
	if err := roundTrip(dial(t, address)); err != nil {
		t.Fatalf("connection after the cut was lifted: %v", err)
	}
}
