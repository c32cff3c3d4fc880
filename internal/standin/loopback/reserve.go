package loopback

import (
	"net"
	"net/netip"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// ReservePort returns a free TCP address of an IPv4 address and reserves its port until release is
// called. Meanwhile the kernel assigns the port to no other socket, be it a listener or an outgoing
// connection, whereas any process can listen on the address itself, repeatedly.
func ReservePort(ip string) (address string, release func(), err error) {
	host, err := netip.ParseAddr(ip)
	if err != nil {
		return "", nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, os.NewSyscallError("socket", err)
	}
	release = func() { _ = unix.Close(fd) }
	port, err := bindWithoutListening(fd, host)
	if err != nil {
		release()
		return "", nil, err
	}
	return net.JoinHostPort(ip, strconv.Itoa(port)), release, nil
}

// bindWithoutListening binds a socket to a port that the kernel chooses. As long as the socket
// doesn't listen, SO_REUSEADDR lets others bind to this very port.
func bindWithoutListening(fd int, host netip.Addr) (port int, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: host.As4()}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	return name.(*unix.SockaddrInet4).Port, nil
}
