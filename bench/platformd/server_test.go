package platformd_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"foxtaildock.example/bench/platformd"
	"foxtaildock.example/dock/store"
)

// callTimeout is short, since two calls of the tests wait until it ends.
const callTimeout = 300 * time.Millisecond

func start(t *testing.T, opts platformd.Options) (*platformd.Server, *store.Client) {
	t.Helper()
	srv := platformd.New(opts)
	web := httptest.NewServer(srv)
	t.Cleanup(web.Close)
	client := store.NewClient(web.Listener.Addr().String(), callTimeout)
	t.Cleanup(client.Close)
	return srv, client
}

func TestCommitIsAllOrNothing(t *testing.T) {
	_, client := start(t, platformd.Options{})
	ctx, table := context.Background(), client.Table()
	if err := table.Commit(ctx, store.Write{Key: "a/1", Value: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	err := table.Commit(ctx,
		store.Write{Key: "a/2", Value: []byte("y")},
		store.Write{Key: "a/1", Expect: 7, Value: []byte("z")})
	conflict, ok := store.IsConflict(err)
	if !ok || conflict.Key != "a/1" || conflict.Have != 1 || conflict.Want != 7 {
		t.Fatalf("commit = %v, want a conflict on a/1", err)
	}
	rows, err := table.Get(ctx, "a/2", "a/1")
	if err != nil || rows[0].Version != 0 || rows[1].Version != 1 || string(rows[1].Value) != "x" {
		t.Fatalf("rows = %+v, error %v, want a/2 absent and a/1 unchanged at version 1", rows, err)
	}
	page, err := table.Scan(ctx, "a/", "", 10)
	if err != nil || len(page) != 1 || page[0].Key != "a/1" {
		t.Fatalf("scan = %+v, error %v, want only a/1", page, err)
	}
}

func TestObjects(t *testing.T) {
	_, client := start(t, platformd.Options{})
	ctx, objects := context.Background(), client.Objects()
	if _, found, err := objects.Get(ctx, "a b/c"); found || err != nil {
		t.Fatalf("get: found %v, error %v, want no object", found, err)
	}
	if err := objects.Put(ctx, "a b/c", []byte("v")); err != nil {
		t.Fatal(err)
	}
	value, found, err := objects.Get(ctx, "a b/c")
	if string(value) != "v" || !found || err != nil {
		t.Fatalf("get: value %q, found %v, error %v, want the value v", value, found, err)
	}
	names, err := objects.List(ctx, "a", "", 10)
	if err != nil || len(names) != 1 || names[0] != "a b/c" {
		t.Fatalf("list = %v, error %v, want only the object a b/c", names, err)
	}
}

func TestFaultsMapToErrors(t *testing.T) {
	cases := []struct {
		name    string
		faults  platformd.Faults
		commit  error
		get     error
		effects bool
	}{
		{"down", platformd.Faults{Down: true}, store.ErrUnavailable, store.ErrUnavailable, false},
		{"silent", platformd.Faults{Silent: true}, store.ErrUnknown, store.ErrUnavailable, false},
		{"lost answer", platformd.Faults{LoseEvery: 1}, store.ErrUnknown, nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv, client := start(t, platformd.Options{})
			ctx, table := context.Background(), client.Table()
			srv.SetFaults(tc.faults)
			if err := table.Commit(ctx, store.Write{Key: "k"}); !errors.Is(err, tc.commit) {
				t.Errorf("commit = %v, want %v", err, tc.commit)
			}
			if _, err := table.Get(ctx, "k"); !errors.Is(err, tc.get) {
				t.Errorf("get = %v, want %v", err, tc.get)
			}
			srv.SetFaults(platformd.Faults{})
			rows, err := table.Get(ctx, "k")
			if err != nil {
				t.Fatal(err)
			}
			if applied := rows[0].Version == 1; applied != tc.effects {
				t.Errorf("write took effect = %v, want %v", applied, tc.effects)
			}
		})
	}
}

func TestDialFailureHadNoEffect(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	_ = closed.Close()
	client := store.NewClient(address, callTimeout)
	err = client.Table().Commit(context.Background(), store.Write{Key: "k"})
	if !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("commit = %v, want ErrUnavailable", err)
	}
}
