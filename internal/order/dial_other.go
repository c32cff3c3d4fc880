//go:build !linux

package order

import "syscall"

// limitRetransmission does nothing: TCP_USER_TIMEOUT is specific to Linux.
func limitRetransmission(_, _ string, _ syscall.RawConn) error { return nil }
