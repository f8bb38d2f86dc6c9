package testkit

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// ListenFilterable listens at an address with a listener that DropFrom accepts.
func ListenFilterable(ctx context.Context, address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // takes no packet filter
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// DropFrom makes the kernel drop the packets that a socket receives from the given IPv4
// addresses, as a network partition does: a listener answers no new connection from there,
// and a connection acknowledges nothing. Without addresses it ends that.
func DropFrom(socket syscall.Conn, sources map[string]bool) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { optionErr = setSourceFilter(int(fd), sources) })
	if err != nil {
		return err
	}
	return optionErr
}

func setSourceFilter(fd int, sources map[string]bool) error {
	if len(sources) == 0 {
		err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(err, unix.ENOENT) {
			return nil // there was none
		}
		return err
	}
	program, err := bpf.Assemble(sourceFilter(sources))
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for n, i := range program {
		filter[n] = unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K}
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// The source address in an IPv4 header, for a filter whose packets begin at the TCP header.
const (
	networkHeaderOffset = 0xfff00000 // SKF_NET_OFF
	sourceOffset        = 12
	ipv4Bytes           = 4
	acceptBytes         = 1 << 18 // more than any packet
)

// sourceFilter returns a program that drops packets from the given IPv4 addresses.
func sourceFilter(sources map[string]bool) []bpf.Instruction {
	program := []bpf.Instruction{bpf.LoadAbsolute{Off: networkHeaderOffset + sourceOffset, Size: ipv4Bytes}}
	for ip := range sources {
		octets := net.ParseIP(ip).To4()
		value := uint32(octets[0])<<24 | uint32(octets[1])<<16 | uint32(octets[2])<<8 | uint32(octets[3])
		program = append(program, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: value, SkipTrue: 1}, bpf.RetConstant{Val: 0})
	}
	return append(program, bpf.RetConstant{Val: acceptBytes})
}
