package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener at an address at which another process of this manager may listen
// at the same time.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		if controlErr := conn.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	config.SetMultipathTCP(false) // BPF programs can't be attached to MPTCP sockets
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err == nil {
		// Detaches the program that directed connections in an earlier upgrade, so that
		// the kernel spreads them over all listeners again.
		withDescriptor(listener, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) })
	}
	return listener, err
}

// DirectToSuccessor makes the kernel give new connections to the younger of two sockets that
// share an address, of which older is the other one: a BPF program of one instruction returns
// the younger socket's index, 1. Once no socket has that index any more, the kernel chooses a
// socket by hash as usual.
//
// Guard: connections that wait in a listener's queue when it closes are reset without being
// served. Once new connections go to the other socket, the queue is soon empty.
func DirectToSuccessor(older net.Listener) error {
	returnOne := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 1}
	program := unix.SockFprog{Len: 1, Filter: &returnOne}
	return withDescriptor(older, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
}

// withDescriptor calls use with the listener's file descriptor.
func withDescriptor(listener net.Listener, use func(fd int) error) (err error) {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return syscall.ENOTSUP
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := rawConn.Control(func(fd uintptr) { err = use(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
