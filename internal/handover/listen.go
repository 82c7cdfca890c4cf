package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener that another process of this manager may share.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	lc.SetMultipathTCP(false) // its sockets take no program
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err == nil {
		// What an upgrade before this one has led elsewhere comes to all again.
		onSocket(l, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) })
	}
	return l, err
}

// DirectToSuccessor has the kernel give new connections to the younger one of two sockets that
// share an address, of which l is the older: a program of one instruction tells it the
// younger's number. Where there is no such number any more, the kernel chooses as usual.
//
// Guard: what waits in a listener's queue when it closes is reset, unheard. Once nothing
// more comes the queue is soon empty.
func DirectToSuccessor(l net.Listener) error {
	younger := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 1}
	prog := unix.SockFprog{Len: 1, Filter: &younger}
	return onSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	})
}

func onSocket(l net.Listener, do func(fd int) error) (err error) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return syscall.ENOTSUP
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if e := raw.Control(func(fd uintptr) { err = do(int(fd)) }); e != nil {
		return e
	}
	return err
}
