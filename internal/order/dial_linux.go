package order

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitRetransmission makes the kernel abort a connection whose data is not
// acknowledged within MaxSend, so that an order can't arrive later after a
// network partition.
func limitRetransmission(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(MaxSend.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
