package network

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// FreeAddress returns the address, an IPv4 address and port, if no other socket is bound
// there. Port 0 stands for any free port.
//
// It binds a socket without listening: processes that are started meanwhile inherit a copy of
// it until they execute their program, and a copy that listens would keep the port in use.
func FreeAddress(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", errors.Wrap(err, "address")
	}
	if !parsed.Addr().Is4() {
		return "", errors.Errorf("address: %s is not IPv4", address)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", errors.Wrap(err, "socket")
	}
	bound, err := bind(fd, parsed)
	if closeErr := unix.Close(fd); err == nil {
		err = errors.Wrap(closeErr, "close")
	}
	if err != nil {
		return "", err
	}
	return bound.String(), nil
}

// bind binds the socket in the way of a listener and returns its address.
func bind(fd int, address netip.AddrPort) (netip.AddrPort, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "reuse of address")
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "bind")
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "address of socket")
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, errors.Errorf("address of socket: unexpected type %T", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)), nil
}

// ProcessAddress returns a loopback address of this process alone, with any port. Other
// processes listen on 127.0.0.1, so none of them takes the port of a server that has ended,
// whose clients are refused.
func ProcessAddress() string { return ProcessHost() + ":0" }

// ProcessHost returns the IP address of ProcessAddress.
func ProcessHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16%254, pid>>8%256, pid%256)
}
