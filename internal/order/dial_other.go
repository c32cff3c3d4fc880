//go:build !linux

package order

import "syscall"

// limitRetransmission has no equivalent on this system.
func limitRetransmission(_, _ string, _ syscall.RawConn) error { return nil }
