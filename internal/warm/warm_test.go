package warm

import (
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/prefix"
)

func TestFetch(t *testing.T) {
	epoch := time.Now()
	scope, chain := prefix.NewScope("a", "m", "1"), []prefix.Hash{1, 2, 3}
	known := prefix.NewIndex(1000, epoch)
	known.Record(scope, chain, known.Attach("e", "run-1"), len(chain), epoch, epoch)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	server := &Server{Index: known}
	peer.RegisterPrefixServer(srv, server)
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	good := func() (*grpc.ClientConn, error) { return conn, nil }
	bad := func() (*grpc.ClientConn, error) { return nil, errors.New("unreachable") }

	fresh := prefix.NewIndex(1000, epoch)
	fresh.Attach("e", "") // The engine has not reported its incarnation yet.
	if n, err := Fetch(t.Context(), fresh, []Dial{bad, good, bad}); n != 3 || err != nil {
		t.Fatalf("got %d blocks, %v", n, err)
	}
	slot := fresh.Attach("e", "run-1")
	got := fresh.Lookup(scope, chain, time.Now(), nil)
	if len(got) != 1 || got[0].Slot != slot || got[0].Blocks != 3 {
		t.Errorf("after the engine's load report: %+v, want 3 blocks in %+v", got, slot)
	}
	fresh.Attach("e", "run-2")
	if got := fresh.Lookup(scope, chain, time.Now(), nil); len(got) > 0 {
		t.Errorf("after the engine's restart: %+v", got)
	}

	server.exporting.Lock()
	defer server.exporting.Unlock()
	if _, err := Fetch(t.Context(), fresh, []Dial{good}); err == nil {
		t.Error("a second export ran concurrently with the first")
	}
}
