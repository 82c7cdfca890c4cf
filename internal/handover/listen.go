package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener that another process of this manager may share.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		if controlErr := conn.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	config.SetMultipathTCP(false) // its sockets take no program
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err == nil {
		// What an upgrade before this one has led elsewhere comes to all again.
		withDescriptor(listener, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) })
	}
	return listener, err
}

// DirectToSuccessor has the kernel give new connections to the younger one of two sockets that
// share an address, of which l is the older: a program of one instruction tells it the
// younger's number. Where there is no such number any more, the kernel chooses as usual.
//
// Guard: what waits in a listener's queue when it closes is reset, unheard. Once nothing
// more comes the queue is soon empty.
func DirectToSuccessor(older net.Listener) error {
	returnOne := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 1}
	program := unix.SockFprog{Len: 1, Filter: &returnOne}
	return withDescriptor(older, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
}

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
