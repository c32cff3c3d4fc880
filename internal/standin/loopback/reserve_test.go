package loopback

import (
	"net"
	"testing"
)

func reserve(t *testing.T) string {
	t.Helper()
	address, release, err := ReservePort(Host())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}

func TestReservedPortIsGivenToNobodyElse(t *testing.T) {
	const listeners = 20_000 // of about 14,000 ports that the kernel chooses from
	reserved := map[string]bool{}
	for range 20 {
		reserved[reserve(t)] = true
	}
	if len(reserved) != 20 {
		t.Fatalf("%d distinct addresses of 20", len(reserved))
	}
	for range listeners {
		l, err := net.Listen("tcp", Host()+":0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if reserved[l.Addr().String()] {
			t.Fatalf("another listener was given the reserved %s", l.Addr())
		}
	}
}

func TestReservedPortIsListenedOnRepeatedly(t *testing.T) {
	address := reserve(t)
	for range 3 {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := net.Listen("tcp", address); err == nil {
			_ = second.Close()
			t.Errorf("two listeners on %s", address)
		}
		_ = l.Close()
	}
}
